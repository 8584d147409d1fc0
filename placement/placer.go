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
	"github.com/hornbeamstage/hornbeamstage/backpressure"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/heat"
)

// Scope selects the endpoints that an instance places attempts on.
type Scope string

// The scopes.
const (
	// ScopeDomain uses the endpoints of the instance's own failure domain.
	ScopeDomain Scope = "domain"
	// ScopeRegion uses all endpoints of the region.
	ScopeRegion Scope = "region"
	// ScopeHome uses the endpoints of the prompt's home domain: the first level
	// of the prompt is hashed to a failure domain of the region, or to several
	// when its demand needs more endpoints.
	ScopeHome Scope = "home"
)

// Placer is the router's placement policy. It follows these rules.
//
//  1. A prompt is cut into nested prefixes, its levels. Each level has a home
//     set of endpoints: the first ones in the rendezvous hashing of its key over
//     the home set of the level above. All instances compute the same sets from
//     the same roster without communicating, and an endpoint that joins or
//     leaves moves only its own share of the keys.
//  2. The size of a home set is a power of two that grows with the demand for
//     the level (package heat). The set of a rarely used prefix is one endpoint.
//  3. A belief records that an endpoint probably has a level cached. It is added
//     when this instance sends the level there, when the engine's cache events
//     report it, or when a peer reports that it sent the level there although
//     the endpoint is outside the home set. A belief applies to one cache
//     generation of an endpoint: one incarnation with one version of weights,
//     until the cache is cleared. Its probability falls with the time since the
//     last use, relative to the endpoint's eviction age, which is learned from
//     the engine's events and counts of cached tokens. The key of a level covers
//     workspace, model, adapter and weights.
//  4. Each usable endpoint gets a cost in seconds: the predicted time to the
//     first token (the prefill queued there, the wait for a slot, the prefill of
//     the tokens of this prompt that are not believed cached), a charge for
//     computing tokens outside their home set, which evicts other prefixes, and
//     one for the load of the batch. The prefills of an engine are taken to run
//     one after another.
//  5. The predicted times of an endpoint are multiplied by its slowness (package
//     straggler). An ejected endpoint gets one attempt at a time. In groups of
//     more than SmallGroup endpoints the cost is computed only for the home
//     sets, the endpoints with beliefs and a random sample of the others.
//  6. The cheapest endpoint below its limits gets the attempt. Among endpoints
//     of nearly the same cost one is drawn at random, so that instances that see
//     the same idle endpoint do not all choose it.
//  7. An endpoint at its limit of requests, or with more than the cap of prefill
//     queued, gets nothing, so that the order of service is decided in the
//     router.
//  8. Unreachable endpoints are left out for a time that doubles with each
//     failure, and so are those that fail several attempts in a row. An attempt
//     whose first token was overdue at its deadline counts as failed. When two endpoints of another failure domain are unreachable, the whole
//     domain is treated as partitioned off for a while.
//  9. Favoured requests overtake others: only favoured work counts in their wait,
//     they get the higher limit of home endpoints everywhere, and an endpoint
//     where they would miss their deadline is chosen only when all others are
//     full or too slow as well.
//  10. Responses cost more on engines with older weights than the newest ones. On
//     engines that are next to change their weights long responses cost still
//     more, as the change waits for them to end.
//  11. The last gap between two events of a stream shows the current speed of its
//     endpoint. A gap much longer than usual for the model means that it
//     computes prompts, possibly of other instances, or is short of processor
//     time. For about the time of a few events, the cost of the prefill of the
//     prompt, and of the delay that it causes to other streams there, is
//     multiplied by the ratio of the gap to the usual one.
//  12. An endpoint gets no attempt before the time that package backpressure tells. A
//     request that can't wait so long doesn't count on the endpoint, and no request
//     waits for one that wants none for some time.
type Placer struct {
	Directory hbs.Directory
	Policy    hbs.Policy
	Self      hbs.Instance
	Network   hbs.Network
	Metrics   metrics.Registry
	// Seed makes the random choices repeatable.
	Seed uint64
	Log  *zap.Logger
	// Scope overrides the knob placement.scope when it is not empty.
	Scope Scope
	// EqualWeights gives all endpoints the same weight in rendezvous hashing. It
	// is for instances that do not exchange digests: weights that each of them
	// derived from its own demand would give one prefix different home sets.
	EqualWeights bool
	// GrowDemand is the demand for each endpoint, in engines, above which the
	// home set of a prefix grows; 0 selects the default of package heat.
	GrowDemand float64
	// StoreReported means that SetStored reports the contents of the shared KV cache
	// store, so that engines may load from it only what it is known to have.
	StoreReported bool
	// HasStore reports whether there is a shared KV cache store; nil means that
	// there is one.
	HasStore func() bool
	// Others returns the other instances, which share what endpoints take from all of
	// them; ok is false while they are not known. nil means those in the roster.
	Others func() (ids []hbs.InstanceID, ok bool)
	// TransferRate returns how many tokens of KV cache per second an engine of the
	// service loads from another engine, 0 where engines cannot do that. A nil
	// TransferRate means 0.
	TransferRate func(hbs.ServiceName) float64

	once   sync.Once
	meters meters
	shares backpressure.Shares
	// idPrefix starts the IDs of attempts. It contains a random part, so that
	// the IDs of different processes differ.
	idPrefix string

	mu       sync.Mutex
	rnd      *rand.Rand
	attempts uint64
	// decision numbers the decisions. A member whose decision field has the
	// same number is a candidate of the current one.
	decision uint64
	// opens is when the first endpoint that wanted no requests in the current decision
	// takes some again; zero if there was none.
	opens   time.Time
	roster  *hbs.Roster
	members map[hbs.EndpointID]*member
	// byHash holds the members by their ID in digests, byGeneration by the
	// number of their cache generation.
	byHash       map[wireID]*member
	byGeneration []*member
	domains      map[hbs.DomainName]*domain
	groups       map[groupKey]*group
	generations  belief.Generations
	table        *belief.Table
	heat         *heat.Tracker
	cleanedUp    time.Time
	// entries and sizes are buffers for results of table and heat.
	entries        []belief.Entry
	sizes          []int
	placedAttempts map[hbs.AttemptID]*placedAttempt
	spills         spills
	reports        reports
	stored         storedPrefixes
}

func (p *Placer) start() { p.once.Do(p.init) }

func (p *Placer) init() {
	p.meters = newMeters(p.Metrics)
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
	p.idPrefix = string(p.Self.ID) + "." + strconv.FormatUint(rand.Uint64(), 36) + "."
	p.rnd = rand.New(rand.NewPCG(p.Seed, hashID(p.Self.ID)))
	p.members = map[hbs.EndpointID]*member{}
	p.byHash = map[wireID]*member{}
	p.domains = map[hbs.DomainName]*domain{}
	p.groups = map[groupKey]*group{}
	p.table = belief.NewTable(int(p.Policy.Number(keyBeliefs, hbs.Scope{})), time.Now())
	p.heat = heat.NewTracker()
	p.heat.GrowDemand = p.GrowDemand
	p.placedAttempts = map[hbs.AttemptID]*placedAttempt{}
	p.stored = storedPrefixes{}
	p.shares = backpressure.Shares{Self: p.Self.ID, Others: p.Others}
	if p.Others == nil {
		p.shares.Others = p.othersInRoster
	}
}

// Place implements hornbeamstage.Placer.
func (p *Placer) Place(req *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.refreshRoster(now)
	g := p.groups[keyOf(req)]
	if g == nil {
		p.meters.noEndpoint.Inc(1)
		return hbs.Placement{}, hbs.ErrNoEndpoint
	}
	p.refreshTuning(g, now)
	g.evaluate(now)
	p.opens = time.Time{}
	m, err := p.choose(g, req, avoid, now)
	switch err {
	case hbs.ErrNoEndpoint:
		p.meters.noEndpoint.Inc(1)
		if !p.opens.IsZero() {
			err = &hbs.ClosedError{Opens: p.opens}
		}
	case hbs.ErrFull:
		p.meters.full.Inc(1)
	}
	if err != nil {
		return hbs.Placement{}, err
	}
	return p.startAttempt(m, req, now), nil
}

// choose tries the configured scope first, then the region, then all endpoints.
// It goes on to the next scope only when no endpoint of the last one is
// reachable, so that neither the instances of a domain that is partitioned off
// nor the endpoints of a domain without instances are left idle.
func (p *Placer) choose(g *group, req *hbs.Request, avoid []hbs.EndpointID, now time.Time) (*member, error) {
	err := hbs.ErrNoEndpoint
	for _, scope := range []Scope{g.tuning.scope, ScopeRegion, scopeAnywhere} {
		m, reachable, found := p.chooseWithin(g, scope, req, avoid, now)
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

// chooseWithin returns the cheapest endpoint of a scope, or nil. It also
// reports whether any endpoint was reachable and whether there was any at all.
func (p *Placer) chooseWithin(g *group, scope Scope, req *hbs.Request, avoid []hbs.EndpointID, now time.Time) (best *member, reachable, found bool) {
	list := p.eligible(g, scope, req)
	p.resetCandidates(g)
	p.estimateCached(g, scope, req, now)
	p.assignHomes(g, scope, list, req, now)
	p.sample(g, list)
	p.findSources(g)
	if best, _, _ := p.cheapest(g, req, avoid, now); best != nil {
		return best, true, true
	}
	for _, m := range list {
		p.addCandidate(g, m)
	}
	return p.cheapest(g, req, avoid, now)
}
