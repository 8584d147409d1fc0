package placement

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/cacheevent"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

// oneEngine is a hornbeamstage.Directory with a single engine.
type oneEngine struct{ roster hbs.Roster }

func (d *oneEngine) Roster() *hbs.Roster      { return &d.roster }
func (d *oneEngine) Changed() <-chan struct{} { return nil }

// BenchmarkCacheEvent measures decoding and applying one cache event.
func BenchmarkCacheEvent(b *testing.B) {
	d := &oneEngine{hbs.Roster{Endpoints: []hbs.Endpoint{{ID: "e", Kind: hbs.KindEngine, Model: "m", Incarnation: "1", State: hbs.StateLive, Slots: 1}}}}
	f := &Placer{Directory: d, Policy: knob.NewFixed(Knobs)}
	f.start()
	f.refreshRoster(time.Now())
	var events [][]byte
	for i := range 4096 {
		kind := []string{"stored", "evicted"}[i%2]
		events = append(events, fmt.Appendf(nil, `{"incarnation":"1","kind":%q,"tag":"%016x","tokens":%d,"age_seconds":8.5}`, kind, uint64(i/2)*0x9e3779b97f4a7c15, 64*(1-i%2)))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		var e cacheevent.Event
		if err := json.Unmarshal(events[i%len(events)], &e); err != nil {
			b.Fatal(err)
		}
		if err := e.Validate(); err != nil {
			b.Fatal(err)
		}
		f.onEvent("e", e)
		i++
	}
}
