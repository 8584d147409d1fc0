package engine

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// loadReport is the answer of GET /load.
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

// maxLoadSamples covers the lag with room for forced samples.
const maxLoadSamples = 64

// sampleLoad keeps the present load for later reports.
func (e *Engine) sampleLoad(now time.Time, force bool) {
	if n := len(e.loads); n > 0 && !force && now.Sub(e.loads[n-1].at) < loadEvery {
		return
	}
	if len(e.loads) == maxLoadSamples {
		e.loads = append(e.loads[:0], e.loads[1:]...)
	}
	tokens := 0
	for _, j := range e.waiting {
		tokens += j.run.PromptTokens
	}
	for _, j := range e.running {
		tokens += max(0, j.left)
	}
	e.loads = append(e.loads, loadSample{now, loadReport{
		Incarnation:         e.incarnation(),
		Weights:             e.weights,
		Running:             len(e.running),
		Waiting:             len(e.waiting),
		WaitingPromptTokens: tokens,
		CachedTokens:        e.cache.Tokens(),
		CacheCapacityTokens: e.Shape.CacheTokens,
	}})
}

// report returns the newest sample that is at least loadLag old.
func (e *Engine) report(now time.Time) loadReport {
	lag := loadLag + e.faults.loadLag
	for i := len(e.loads) - 1; i >= 0; i-- {
		if s := e.loads[i]; now.Sub(s.at) >= lag {
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

// cacheEvent is the data of one event of GET /cache_events.
type cacheEvent struct {
	Incarnation hbs.Incarnation `json:"incarnation"`
	Kind        string          `json:"kind"`
	Tag         string          `json:"tag,omitempty"`
	Tokens      int             `json:"tokens"`
	AgeSeconds  float64         `json:"age_seconds"`
}

// maxEvents bounds the log; older ones are a gap.
const maxEvents = 4096

// eventLog holds the newest events. The sequence number of kept[i] is first+i.
type eventLog struct {
	first int
	kept  []loggedEvent
}

type loggedEvent struct {
	at   time.Time
	lost bool
	data cacheEvent
}

func (l *eventLog) add(e loggedEvent) {
	if len(l.kept) == maxEvents {
		l.kept = append(l.kept[:0], l.kept[maxEvents/2:]...)
		l.first += maxEvents / 2
	}
	l.kept = append(l.kept, e)
}

func (e *Engine) publish(kind, tag string, tokens int, age time.Duration) {
	if !e.Capabilities.CacheEvents {
		return
	}
	lost := e.faults.lostEvents > 0 && e.rng.Float64() < e.faults.lostEvents
	e.events.add(loggedEvent{time.Now(), lost, cacheEvent{
		Incarnation: e.incarnation(),
		Kind:        kind,
		Tag:         tag,
		Tokens:      tokens,
		AgeSeconds:  age.Seconds(),
	}})
}

// prefixTag is a router's name for the first tokens of a prompt.
type prefixTag struct {
	Tag    string `json:"tag"`
	Tokens int    `json:"tokens"`
}

type tagKey struct{ salt, tag string }

// tagTable remembers which blocks the routers' tags name while these are cached.
type tagTable struct {
	blocks map[tagKey][]Block
	byLast map[Block][]tagKey
}

func (t *tagTable) add(k tagKey, blocks []Block) bool {
	if t.blocks == nil {
		t.blocks = map[tagKey][]Block{}
		t.byLast = map[Block][]tagKey{}
	}
	if len(blocks) == 0 || len(t.blocks[k]) > 0 {
		return false
	}
	t.blocks[k] = blocks
	last := blocks[len(blocks)-1]
	t.byLast[last] = append(t.byLast[last], k)
	return true
}

// noteStored publishes the tags of a prompt that has just been computed.
func (e *Engine) noteStored(j *job, _ time.Time) {
	for _, t := range j.tags {
		n := min(t.Tokens/BlockTokens, len(j.blocks))
		if n > 0 && e.tags.add(tagKey{j.salt, t.Tag}, j.blocks[:n]) {
			e.publish("stored", t.Tag, t.Tokens, 0)
		}
	}
}

// onEvict publishes the tags that end with an evicted block.
func (e *Engine) onEvict(b Block, used time.Time) {
	for _, k := range e.tags.byLast[b] {
		delete(e.tags.blocks, k)
		e.publish("evicted", k.tag, 0, time.Since(used))
	}
	delete(e.tags.byLast, b)
}
