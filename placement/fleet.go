// Package placement chooses the endpoint of each attempt.
package placement

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/heat"
)

// Scope tells which endpoints an instance places on.
type Scope string

// The scopes.
const (
	// ScopeDomain uses the endpoints of the own failure domain.
	ScopeDomain Scope = "domain"
	// ScopeRegion uses all endpoints of the region alike.
	ScopeRegion Scope = "region"
	// ScopeHome gives each shallow prefix a home domain of the region.
	ScopeHome Scope = "home"
)

// Fleet is the router's placement policy. A decision follows these rules.
//
//  1. Each level of a prompt has a set of endpoints, the first ones of the
//     rendezvous hashing of its key over the set of the level above. All
//     instances compute the same sets from the same roster, without a message,
//     and endpoints that come and go move only their own share of the keys.
//  2. The size of a set is a power of two that grows with the demand for the
//     level (package heat). A prefix that is seldom used has one endpoint.
//  3. An endpoint is believed to have a level cached when this instance sent it
//     there, when the engine's own counts or events say so, or when a peer tells
//     that it sent it off its set. A belief belongs to one life of an endpoint
//     and its chance falls with the time since the last use, measured against
//     the endpoint's eviction age. The key holds workspace, model, adapter and
//     weights.
//  4. Every usable endpoint gets a cost in seconds: the time to the first token
//     (the prefill queued there, the wait for a slot, the tokens of this prompt
//     that are not believed cached), the computation of tokens off their set,
//     which pushes other prefixes out of a cache, and the crowding of the batch.
//     Prefills are taken as serial on one engine.
//  5. The times of an endpoint are multiplied by its slowness (package
//     straggler). An ejected one gets one attempt at a time.
//     Of more than SmallGroup endpoints only those of the sets, those with
//     beliefs and a random sample of the others are priced.
//  6. The cheapest endpoint that is not at its limits gets the attempt; among
//     those that cost nearly the same, one is drawn, so that instances which
//     see the same idle endpoint do not all choose it.
//  7. An endpoint at its slots, or with more than the cap of prefill queued,
//     gets nothing, so that the order of service is decided in the router.
//  8. Endpoints that could not be reached are left out for a while that doubles.
//     When two of another domain can't be reached, the domain counts as cut off.
//  9. Favoured requests pass what is not favoured: only favoured work counts in
//     their wait, they have the slots of requests at home everywhere, and an
//     endpoint where they would come late is taken only when all others are full
//     or late too.
//  10. Answers cost more at engines with older weights than the newest ones, and
//     long ones still more at those that are about to change them, as the change
//     waits for them.
//  11. A stream's last gap tells at once how its endpoint does. Where it is much
//     longer than usual for the model, the endpoint computes prompts, those of
//     other instances among them, or is short of processor time. For a few events'
//     time the own computation there costs as many times more, and so does the
//     delay of the streams beside it.
type Fleet struct {
	Directory hbs.Directory
	Policy    hbs.Policy
	Self      hbs.Instance
	Network   hbs.Network
	Metrics   metrics.Registry
	// Seed makes the choices among equals repeatable.
	Seed uint64
	Log  *zap.Logger
	// Scope overrides the knob placement.scope when it is not empty.
	Scope Scope
	// EvenHomes keeps the weights of endpoints in rendezvous hashing alike, for
	// instances that do not hear each other: weights of their own would make
	// different endpoints the home of one prefix.
	EvenHomes bool
	// HomeLoad is the demand, in engines, from which the home of a prefix gets
	// another endpoint; 0 leaves it to package heat.
	HomeLoad float64
	// KeptHeard tells that TakeKept says what the store of kept KV cache has, so
	// that it is asked for nothing else.
	KeptHeard bool
	// Keeps reports whether there is a store of kept KV cache; nil if there is.
	Keeps func() bool
	// Transfer returns how many tokens of cache an engine of a pool loads from
	// another one in a second, 0 where they can't; nil is 0.
	Transfer func(hbs.ServiceName) float64

	once   sync.Once
	meters meters
	// prefix starts the ids of attempts; it differs between processes.
	prefix string

	mu       sync.Mutex
	rnd      *rand.Rand
	attempts uint64
	// seen counts decisions; members carry that which they were looked at in.
	seen     uint64
	roster   *hbs.Roster
	members  map[hbs.EndpointID]*member
	byHash   map[wireID]*member
	byLife   []*member
	domains  map[hbs.DomainName]*domain
	groups   map[groupKey]*group
	lives    belief.Lives
	table    *belief.Table
	heat     *heat.Map
	cooled   time.Time
	found    []belief.Holder
	sizes    []int
	bookings map[hbs.AttemptID]*booking
	news     news
	reports  reports
	kept     kept
}

func (f *Fleet) start() { f.once.Do(f.init) }

func (f *Fleet) init() {
	f.meters = newMeters(f.Metrics)
	if f.Log == nil {
		f.Log = zap.NewNop()
	}
	f.prefix = string(f.Self.ID) + "." + strconv.FormatUint(rand.Uint64(), 36) + "."
	f.rnd = rand.New(rand.NewPCG(f.Seed, hashID(f.Self.ID)))
	f.members = map[hbs.EndpointID]*member{}
	f.byHash = map[wireID]*member{}
	f.domains = map[hbs.DomainName]*domain{}
	f.groups = map[groupKey]*group{}
	f.table = belief.NewTable(int(f.Policy.Number(keyBeliefs, hbs.Scope{})), time.Now())
	f.heat = heat.NewMap()
	f.heat.Full = f.HomeLoad
	f.bookings = map[hbs.AttemptID]*booking{}
	f.kept = kept{}
}

// Place implements hornbeamstage.Placer.
func (f *Fleet) Place(req *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.refresh(now)
	g := f.groups[keyOf(req)]
	if g == nil {
		f.meters.noEndpoint.Inc(1)
		return hbs.Placement{}, hbs.ErrNoEndpoint
	}
	f.tune(g, now)
	g.judge(now)
	m, err := f.choose(g, req, avoid, now)
	switch err {
	case hbs.ErrNoEndpoint:
		f.meters.noEndpoint.Inc(1)
	case hbs.ErrFull:
		f.meters.full.Inc(1)
	}
	if err != nil {
		return hbs.Placement{}, err
	}
	return f.book(m, req, now), nil
}

// choose looks within the scope first and beyond it when nothing there can be
// reached, so that neither a domain that is cut off nor one without instances
// is left idle.
func (f *Fleet) choose(g *group, req *hbs.Request, avoid []hbs.EndpointID, now time.Time) (*member, error) {
	err := hbs.ErrNoEndpoint
	for _, scope := range []Scope{g.tuning.scope, ScopeRegion, anywhere} {
		m, reachable, found := f.chooseWithin(g, scope, req, avoid, now)
		if m != nil {
			return m, nil
		}
		if found {
			err = hbs.ErrFull
		}
		if reachable {
			break
		}
	}
	return nil, err
}

// chooseWithin returns the cheapest endpoint of a scope. It tells whether any
// endpoint was reachable and whether there was any at all.
func (f *Fleet) chooseWithin(g *group, scope Scope, req *hbs.Request, avoid []hbs.EndpointID, now time.Time) (best *member, reachable, found bool) {
	list := f.eligible(g, scope, req)
	f.begin(g)
	f.believe(g, scope, req, now)
	f.homes(g, scope, list, req, now)
	f.sample(g, list)
	f.findSources(g)
	if best, _, _ := f.cheapest(g, req, avoid, now); best != nil {
		return best, true, true
	}
	for _, m := range list {
		f.touch(g, m)
	}
	return f.cheapest(g, req, avoid, now)
}
