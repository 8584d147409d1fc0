package replay

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// epoch is the time of the trace's start for the caches of the oracle.
var epoch = time.Unix(0, 0)

// oracle computes an upper bound of the prefix cache hits that placement can
// reach: it treats the caches of all engines of a model as a single cache.
type oracle struct {
	texts  *trace.Texts
	caches map[hbs.ModelName]*engine.Cache
	// computed is the number of prompt tokens that are not in the oracle's cache,
	// prompt the length of the prompt in tokens, both by request id.
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

// add looks up and caches the prompt of q. Requests are added by arrival time.
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
