package placement

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

// fixedDirectory is a Directory whose roster doesn't change.
type fixedDirectory struct{ roster hbs.Roster }

func (d *fixedDirectory) Roster() *hbs.Roster      { return &d.roster }
func (d *fixedDirectory) Changed() <-chan struct{} { return nil }

// placerOfOne returns a Placer with one engine, its group and the engine.
func placerOfOne(now time.Time) (*Placer, *group, *member) {
	e := hbs.Endpoint{ID: "e", Kind: hbs.KindEngine, Domain: "d", State: hbs.StateLive, Model: "m", Weights: "w1", Slots: 8}
	p := &Placer{Directory: &fixedDirectory{hbs.Roster{Endpoints: []hbs.Endpoint{e}}}, Policy: knob.NewFixed(Knobs), Self: hbs.Instance{Domain: "d"}}
	p.start()
	p.refreshRoster(now)
	g := p.groups[groupKey{model: "m"}]
	p.refreshTuning(g, now)
	return p, g, p.members["e"]
}

func TestCostsDoNotDependOnHowOftenTheyAreComputed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		now := time.Now()
		p, group, m := placerOfOne(now)
		group.rates.homeCredit = 0.5
		req := &hbs.Request{Model: "m", PromptTokens: 1000, Levels: []hbs.Level{{Key: 1, Tokens: 1000}}}
		p.resetCandidates(group)
		p.addCandidate(group, m)
		m.tier = 0
		p.computeCost(group, m, req, now)
		cached, cost := m.cached, m.cost
		g.Expect(cached).To(BeNumerically("~", 500, 1))
		p.computeCost(group, m, req, now)
		g.Expect(m.cached).To(Equal(cached))
		g.Expect(m.cost).To(Equal(cost))
	})
}

func TestDecisionStartsWithoutTheStateOfTheLastOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, group, m := placerOfOne(time.Now())
		m.inCache, m.imported, m.importTime, m.fromStore, m.believed = 1, 1, 1, 1, 1
		p.resetCandidates(group)
		p.addCandidate(group, m)
		g.Expect([]float64{m.inCache, m.imported, m.importTime, m.fromStore, m.believed}).To(HaveEach(BeZero()))
	})
}

func TestFullListOfStoredPrefixesCanBeRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := storedPrefixes{}
		for i := range maxStored {
			s.add(storedKey{level: hbs.LevelKey(i)}, time.Now())
		}
		time.Sleep(storedTTL / 2)
		s.add(storedKey{level: 7}, time.Now())
		s.add(storedKey{level: maxStored}, time.Now())
		g.Expect(s).To(HaveLen(maxStored))
		g.Expect(s[storedKey{level: 7}]).To(Equal(time.Now().Add(storedTTL)))
	})
}
