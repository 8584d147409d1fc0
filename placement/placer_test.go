package placement_test

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/placement"
)

var suiteT *testing.T

func TestPlacement(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// directory is a hornbeamstage.Directory whose roster tests replace.
type directory struct {
	roster  *hbs.Roster
	changed chan struct{}
}

func (d *directory) Roster() *hbs.Roster      { return d.roster }
func (d *directory) Changed() <-chan struct{} { return d.changed }

var address = netip.MustParseAddrPort("10.0.0.1:80")

// newDirectory returns n engines of the model "fitting" in the domains a, b and
// c, with one instance in each domain.
func newDirectory(n int) *directory {
	r := &hbs.Roster{}
	for i := range n {
		r.Endpoints = append(r.Endpoints, hbs.Endpoint{
			ID:          hbs.EndpointID(fmt.Sprintf("engine-%03d", i)),
			Kind:        hbs.KindEngine,
			Domain:      hbs.DomainName("abc"[i%3 : i%3+1]),
			Region:      "luzon",
			Address:     address,
			State:       hbs.StateLive,
			Incarnation: "1",
			Model:       "fitting",
			Weights:     "w1",
			Slots:       8,
		})
	}
	for _, d := range []hbs.DomainName{"a", "b", "c"} {
		r.Instances = append(r.Instances, instance(d))
	}
	return &directory{roster: r, changed: make(chan struct{})}
}

// edit replaces the roster with a changed copy.
func (d *directory) edit(change func(*hbs.Roster)) {
	c := &hbs.Roster{
		Endpoints: append([]hbs.Endpoint(nil), d.roster.Endpoints...),
		Instances: append([]hbs.Instance(nil), d.roster.Instances...),
	}
	change(c)
	d.roster = c
	close(d.changed)
	d.changed = make(chan struct{})
}

func instance(domain hbs.DomainName) hbs.Instance {
	return hbs.Instance{
		ID: "router-" + hbs.InstanceID(domain), Domain: domain, Region: "luzon",
		PeerAddress: address, State: hbs.InstanceLive,
	}
}

func newPlacer(d hbs.Directory, domain hbs.DomainName) *placement.Placer {
	policy := knob.NewFixed(placement.Knobs).With("placement.limit_share", 1)
	return &placement.Placer{Directory: d, Policy: policy, Self: instance(domain), Seed: 1}
}

// request returns a request with a level for each key, each 1000 tokens longer
// than the one before.
func request(keys ...hbs.LevelKey) *hbs.Request {
	r := &hbs.Request{ID: "r", Workspace: "bakery", Model: "fitting", Weights: "w1", ExpectedTokens: 20}
	for i, key := range keys {
		r.Levels = append(r.Levels, hbs.Level{Key: key, Tokens: 1000 * (i + 1)})
	}
	r.PromptTokens = 1000 * len(keys)
	return r
}

func mustPlace(g Gomega, f *placement.Placer, req *hbs.Request, avoid ...hbs.EndpointID) hbs.Placement {
	p, err := f.Place(req, avoid)
	g.Expect(err).NotTo(HaveOccurred())
	return p
}

// complete ends p with a complete response for which the engine counted the given
// number of cached tokens; -1 means that it reported none.
func complete(f *placement.Placer, p hbs.Placement, inc hbs.Incarnation, cached int) {
	f.FirstToken(&p, p.FirstToken, -1)
	f.Finish(&p, hbs.AttemptResult{
		End: hbs.EndComplete, Incarnation: inc, Weights: "w1", CachedTokens: cached, OutputTokens: 20,
		FirstToken: p.FirstToken, Duration: p.FirstToken + 400e6,
	})
}
