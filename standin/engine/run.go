package engine

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// End is the way in which a run ended.
type End string

// Values of End. EndOpen marks a run in progress.
const (
	EndOpen     End = ""
	EndComplete End = "complete"
	EndCanceled End = "canceled"
	EndCrashed  End = "crashed"
)

// Run is the engine's record of one accepted request.
type Run struct {
	Attempt hbs.AttemptID
	// Body is the identifier that the caller wrote into the prompt, see BodyID.
	Body    string
	Salt    string
	Weights hbs.WeightsVersion
	// Incarnation identifies the incarnation that accepted the request.
	Incarnation                hbs.Incarnation
	Arrived, Started, Ended    time.Time
	PromptTokens, CachedTokens int
	// LoadedTokens is the number of prompt tokens loaded from the shared KV store.
	LoadedTokens int
	OutputTokens int
	End          End
}

// job is a run in progress. Its fields are guarded by the engine's mutex.
type job struct {
	run      *Run
	priority int
	arrival  int
	blocks   []Block
	tags     []prefixTag
	salt     string
	chat     bool
	// output is the number of tokens to generate, emitted the number generated so far.
	output, emitted int
	// loadAllowed is set if the prefix may be loaded from the shared KV store.
	// loadedBlocks are the blocks loaded from it; prefill waits for them until ready.
	loadAllowed  bool
	loadedBlocks []Block
	ready        time.Time
	// storeTokens is the length, in tokens, of the prefix to write to the KV store.
	storeTokens int
	// promptLeft is the number of prompt tokens still to compute, -1 before prefill
	// starts.
	promptLeft int
	ended      bool
	// readers is the number of connections that relay the stream. resumeWindow is how
	// long the job continues without any.
	readers      int
	resumeWindow time.Duration
	// changed is sent when emitted or ended changes.
	changed notification.Signal
}

// finish ends the job. Further calls have no effect.
func (j *job) finish(end End) {
	if j.ended {
		return
	}
	j.ended = true
	j.run.End = end
	j.run.Ended = time.Now()
	j.run.OutputTokens = j.emitted
	j.changed.Send()
}

// precedes reports whether j is scheduled before k.
func (j *job) precedes(k *job) bool {
	if j.priority != k.priority {
		return j.priority < k.priority
	}
	return j.arrival < k.arrival
}
