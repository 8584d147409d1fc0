package engine

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// loadReport is the response body of GET /load.
type loadReport struct {
	Incarnation         hbs.Incarnation    `json:"incarnation"`
	Weights             hbs.WeightsVersion `json:"weights"`
	Running             int                `json:"running"`
	Waiting             int                `json:"waiting"`
	WaitingPromptTokens int                `json:"waiting_prompt_tokens"`
	CachedTokens        int                `json:"cached_tokens"`
	CacheCapacityTokens int                `json:"cache_capacity_tokens"`
	AgeSeconds          float64            `json:"age_seconds"`
}

type loadSample struct {
	at     time.Time
	report loadReport
}

// maxLoadSamples is the number of samples retained. It spans loadLag and
// leaves room for the additional samples taken whenever the engine runs out of work.
const maxLoadSamples = 64

// sampleLoad records the current load for later reports, at most once per
// loadSampleInterval unless forced.
func (e *Engine) sampleLoad(now time.Time, force bool) {
	if n := len(e.loadSamples); n > 0 && !force && now.Sub(e.loadSamples[n-1].at) < loadSampleInterval {
		return
	}
	if len(e.loadSamples) == maxLoadSamples {
		e.loadSamples = append(e.loadSamples[:0], e.loadSamples[1:]...)
	}
	tokens := 0
	for _, j := range e.waiting {
		tokens += j.run.PromptTokens
	}
	for _, j := range e.running {
		tokens += max(0, j.promptLeft)
	}
	e.loadSamples = append(e.loadSamples, loadSample{now, loadReport{
		Incarnation:         e.incarnation(),
		Weights:             e.weights,
		Running:             len(e.running),
		Waiting:             len(e.waiting),
		WaitingPromptTokens: tokens,
		CachedTokens:        e.cache.Tokens(),
		CacheCapacityTokens: e.Shape.CacheTokens,
	}})
}

// delayedReport returns the newest sample that is at least loadLag old, plus the
// delay set by DelayLoad.
func (e *Engine) delayedReport(now time.Time) loadReport {
	lag := loadLag + e.faults.extraLoadLag
	for i := len(e.loadSamples) - 1; i >= 0; i-- {
		if s := e.loadSamples[i]; now.Sub(s.at) >= lag {
			s.report.AgeSeconds = lag.Seconds()
			return s.report
		}
	}
	return loadReport{
		Incarnation:         e.incarnation(),
		Weights:             e.weights,
		CacheCapacityTokens: e.Shape.CacheTokens,
		AgeSeconds:          lag.Seconds(),
	}
}

// cacheEvent is the data field of one event of GET /cache_events.
type cacheEvent struct {
	Incarnation hbs.Incarnation `json:"incarnation"`
	Kind        string          `json:"kind"`
	Tag         string          `json:"tag,omitempty"`
	Tokens      int             `json:"tokens"`
	AgeSeconds  float64         `json:"age_seconds"`
}

// maxEvents is the capacity of the event log. Readers see a gap in the sequence
// numbers in place of older events.
const maxEvents = 4096

// eventLog holds the newest events. The sequence number of entries[i] is first+i.
type eventLog struct {
	first   int
	entries []loggedEvent
}

type loggedEvent struct {
	at   time.Time
	lost bool
	data cacheEvent
}

func (l *eventLog) add(e loggedEvent) {
	if len(l.entries) == maxEvents {
		l.entries = append(l.entries[:0], l.entries[maxEvents/2:]...)
		l.first += maxEvents / 2
	}
	l.entries = append(l.entries, e)
}

func (e *Engine) publish(kind, tag string, tokens int, age time.Duration) {
	if !e.Capabilities.CacheEvents {
		return
	}
	lost := e.faults.eventLossRate > 0 && e.rng.Float64() < e.faults.eventLossRate
	e.events.add(loggedEvent{time.Now(), lost, cacheEvent{
		Incarnation: e.incarnation(),
		Kind:        kind,
		Tag:         tag,
		Tokens:      tokens,
		AgeSeconds:  age.Seconds(),
	}})
}

// prefixTag is the name that a router gives to the first Tokens tokens of a
// prompt.
type prefixTag struct {
	Tag    string `json:"tag"`
	Tokens int    `json:"tokens"`
}

type tagKey struct{ salt, tag string }

// tagTable maps the routers' tags to the blocks that they name, while the last of
// these blocks is cached.
type tagTable struct {
	blocks      map[tagKey][]Block
	byLastBlock map[Block][]tagKey
}

func (t *tagTable) add(k tagKey, blocks []Block) bool {
	if t.blocks == nil {
		t.blocks = map[tagKey][]Block{}
		t.byLastBlock = map[Block][]tagKey{}
	}
	if len(blocks) == 0 || len(t.blocks[k]) > 0 {
		return false
	}
	t.blocks[k] = blocks
	last := blocks[len(blocks)-1]
	t.byLastBlock[last] = append(t.byLastBlock[last], k)
	return true
}

// publishStored publishes an event for each new tag of a prompt that has just been
// computed.
func (e *Engine) publishStored(j *job, _ time.Time) {
	for _, t := range j.tags {
		n := min(t.Tokens/BlockTokens, len(j.blocks))
		if n > 0 && e.tags.add(tagKey{j.salt, t.Tag}, j.blocks[:n]) {
			e.publish("stored", t.Tag, t.Tokens, 0)
		}
	}
}

// onEvict publishes an event for each tag whose last block was evicted.
func (e *Engine) onEvict(b Block, used time.Time) {
	for _, k := range e.tags.byLastBlock[b] {
		delete(e.tags.blocks, k)
		e.publish("evicted", k.tag, 0, time.Since(used))
	}
	delete(e.tags.byLastBlock, b)
}
