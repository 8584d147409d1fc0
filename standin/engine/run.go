package engine

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// End says how a run ended.
type End string

// The ends of a run.
const (
	EndOpen     End = ""
	EndComplete End = "complete"
	EndCanceled End = "canceled"
	EndCrashed  End = "crashed"
)

// Run is the engine's own record of one accepted request.
type Run struct {
	Attempt hbs.AttemptID
	// Body is the id that the caller wrote into the prompt, see BodyID.
	Body    string
	Salt    string
	Weights hbs.WeightsVersion
	// Incarnation is the life of the engine that accepted the request.
	Incarnation                hbs.Incarnation
	Arrived, Started, Ended    time.Time
	PromptTokens, CachedTokens int
	// LoadedTokens is the part of CachedTokens that came from the store of kept KV
	// cache.
	LoadedTokens int
	OutputTokens int
	End          End
}

// job is a run in progress. Its fields are guarded by the engine's mutex but
// for changed.
type job struct {
	run      *Run
	priority int
	arrival  int
	blocks   []Block
	tags     []prefixTag
	salt     string
	chat     bool
	// output is the number of tokens to generate, emitted those generated.
	output, emitted int
	// kept tells that the store of kept KV cache may be used. The blocks loaded from
	// it are there from ready on.
	kept   bool
	loaded []Block
	ready  time.Time
	// keep is the length of the prefix to put into the store, in tokens.
	keep int
	// left is the part of the prompt that is still to be computed, -1 before the start.
	left int
	over bool
	// readers counts connections that relay the stream; window is how long the
	// job goes on without one.
	readers int
	window  time.Duration
	// changed is closed and replaced when emitted or over change.
	changed chan struct{}
}

// finish ends the job once.
func (j *job) finish(end End) {
	if j.over {
		return
	}
	j.over = true
	j.run.End = end
	j.run.Ended = time.Now()
	j.run.OutputTokens = j.emitted
	j.notify()
}

func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// urgent reports whether j goes before k.
func (j *job) urgent(k *job) bool {
	if j.priority != k.priority {
		return j.priority < k.priority
	}
	return j.arrival < k.arrival
}
