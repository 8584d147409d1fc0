package gateway

import (
	"math"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/converge"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// weightsVersions holds the weights versions that the platform published, by
// model.
type weightsVersions struct {
	// Converge is the time after a version's publication within which engines
	// must have replaced older weights; 0 means there is no limit.
	Converge time.Duration
	// Suspended returns the total time for which the machine has been
	// suspended. The monotonic clock doesn't advance while it is.
	Suspended func() time.Duration
	// VersionWatch and EngineWatch tell of the watches of the versions and of the
	// engines' records.
	VersionWatch, EngineWatch *contact

	mu      sync.Mutex
	byModel map[hbs.ModelName][]publication
}

// publication is a weights version and a moment at which it was not yet
// published.
type publication struct {
	version   int64
	notBefore moment
}

// moment is a point in time from which the elapsed time can be told even if the
// machine was suspended in between. The zero value is so long ago that all limits
// have passed; it is used for versions read when the instance starts, since they may
// be of any age.
type moment struct {
	at time.Time
	// suspended is the total time for which the machine had been suspended then.
	suspended time.Duration
}

// startMargin is how long before the end of Converge an engine with older weights
// stops receiving new requests, as a request may wait at the engine before it begins.
const startMargin = 2 * time.Second

// add records a version that was not yet published at notBefore. It reports
// whether the version is newer than those already recorded; others are ignored.
func (v *weightsVersions) add(n platform.DesiredWeights, notBefore moment) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byModel == nil {
		v.byModel = map[hbs.ModelName][]publication{}
	}
	if n.Version <= v.newest(n.Model) {
		return false
	}
	v.byModel[n.Model] = append(v.active(n.Model), publication{n.Version, notBefore})
	return true
}

// active returns the publications of m without those whose successor is due, which no
// longer matter.
func (v *weightsVersions) active(m hbs.ModelName) []publication {
	all := v.byModel[m]
	for len(all) > 1 && v.elapsed(all[1].notBefore) > v.Converge {
		all = all[1:]
	}
	return all
}

// overdue reports whether engines should have loaded the version by now.
func (v *weightsVersions) overdue(n publication) bool {
	return v.Converge > 0 && v.elapsed(n.notBefore) > v.Converge-startMargin
}

// elapsed returns the time since m, including time suspended.
func (v *weightsVersions) elapsed(m moment) time.Duration {
	if m == (moment{}) {
		return math.MaxInt64
	}
	return time.Since(m.at) + v.Suspended() - m.suspended
}

// newest returns the newest version of a model, 0 if there is none. v.mu must
// be held.
func (v *weightsVersions) newest(m hbs.ModelName) int64 {
	all := v.byModel[m]
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1].version
}

// target returns the newest version of a model, 0 if there is none.
func (v *weightsVersions) target(m hbs.ModelName) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest(m)
}

// rollouts returns the engines whose weights are older than the newest version.
func (g *Gateway) rollouts(es []hbs.Endpoint) map[hbs.EndpointID]hbs.Rollout {
	return converge.Rollouts(es, g.versions.target)
}

// tooOld reports whether the weights of e should have been replaced by now.
func (v *weightsVersions) tooOld(e *hbs.Endpoint) bool {
	n, ok := v.replacement(e)
	return ok && v.overdue(n)
}

// timeLeft returns the time in which requests may begin on the weights of e. ok is
// false if there is no limit.
func (v *weightsVersions) timeLeft(e *hbs.Endpoint) (left time.Duration, ok bool) {
	n, ok := v.replacement(e)
	if !ok || v.Converge <= 0 {
		return 0, false
	}
	return v.Converge - v.elapsed(n.notBefore), true
}

// due reports whether requests must not begin any more on the weights of e.
func (v *weightsVersions) due(e *hbs.Endpoint) bool {
	left, ok := v.timeLeft(e)
	return ok && left <= 0
}

// lastSendTime is how long before the weights of an engine are due it goes out of use for
// instances that limits on time bind: they check the roster now and then, and a request
// takes a while from its placement until it is sent.
const lastSendTime = expireInterval + connectTimeout + cancelTime

// barred reports whether e must get no request even if no engine has newer weights. That
// is so when they are due and this instance has been in contact with the store for the
// whole time in which they had to be replaced: nothing excuses them then.
func (v *weightsVersions) barred(e *hbs.Endpoint) bool {
	n, ok := v.replacement(e)
	if !ok || v.Converge <= 0 {
		return false
	}
	age := v.elapsed(n.notBefore)
	for _, c := range []*contact{v.VersionWatch, v.EngineWatch} {
		regained, stable := c.stable()
		if !stable {
			return false
		}
		age = min(age, v.elapsed(regained))
	}
	return age > v.Converge-lastSendTime
}

// replacement returns the oldest publication that is newer than the weights of e, if
// there is one. Its notBefore is the earliest one of all newer publications.
func (v *weightsVersions) replacement(e *hbs.Endpoint) (n publication, ok bool) {
	have, err := platform.ParseWeights(e.Weights)
	if err != nil {
		return n, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range v.active(e.Model) {
		if n.version > have {
			return n, true
		}
	}
	return n, false
}

// cancelTime is the time in which the end of an attempt reaches its engine.
const cancelTime = 100 * time.Millisecond

// checkStart reports whether a request that waits at e must not begin there any more,
// and otherwise when to check again. Engines whose weights are due but that are still
// in use may begin requests (rule 6 of package roster). A timer stands still
// while the machine is suspended, and e may go out of use, so it checks often.
func (g *Gateway) checkStart(e *hbs.Endpoint) (next time.Duration, end bool) {
	if e.Kind != hbs.KindEngine {
		return 0, false
	}
	left, limited := g.versions.timeLeft(e)
	left -= cancelTime
	switch {
	case limited && left > 0:
		return min(left, expireInterval), false
	case limited && !g.inUse(e):
		return 0, true
	}
	return expireInterval, false
}

// inUse reports whether e, a copy of an earlier record, still gets new requests on the
// weights that it had.
func (g *Gateway) inUse(e *hbs.Endpoint) bool {
	now := g.directory.Roster().Endpoint(e.ID)
	return now != nil && now.State == hbs.StateLive && now.Weights == e.Weights
}
