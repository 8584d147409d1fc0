package replay

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// epoch is the start of the oracle's own time.
var epoch = time.Unix(0, 0)

// oracle bounds what placement can reach: the caches of a model's engines
// counted as one, with every prefix that fits hit.
type oracle struct {
	texts  *trace.Texts
	caches map[hbs.ModelName]*engine.Cache
	// computed is the part of each prompt that even the oracle computes, by
	// request id; prompt its whole length.
	computed, prompt map[string]int
}

func newOracle(f trace.Fleet, texts *trace.Texts) *oracle {
	o := &oracle{
		texts:    texts,
		caches:   map[hbs.ModelName]*engine.Cache{},
		computed: map[string]int{},
		prompt:   map[string]int{},
	}
	for _, g := range f.Engines {
		o.caches[g.Model] = engine.NewCache(g.Count*g.Shape.CacheTokens, nil)
	}
	return o
}

// add replays the prompt of q, in order of arrival.
func (o *oracle) add(q *trace.Request) {
	text := engine.Text(func(yield func(role, content string) bool) {
		for _, m := range o.texts.Messages(q) {
			if !yield(m.Role, m.Content) {
				return
			}
		}
	})
	cache := o.caches[q.Model]
	blocks := engine.Blocks(string(q.Workspace), text)
	now := epoch.Add(q.Arrival())
	hit := cache.Hit(blocks, now)
	cache.Add(blocks, now)
	o.prompt[q.ID] = engine.Tokens(text)
	o.computed[q.ID] = max(1, o.prompt[q.ID]-hit*engine.BlockTokens)
}
