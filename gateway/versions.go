package gateway

import (
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
	// EventTimeout returns the longest time that callers of streams wait for an
	// event, and so the longest time that a request waits at an engine before it
	// begins.
	EventTimeout func() time.Duration
	// Suspended returns the total time for which the machine has been
	// suspended. The monotonic clock doesn't advance while it is.
	Suspended func() time.Duration

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

// sendDelay is the longest time in which a request is still sent to an engine whose
// weights have become too old: until the roster is updated and the connection made.
const sendDelay = expireInterval + connectTimeout

// maxMarginShare bounds startMargin as a share of Converge, so that callers who wait
// very long don't exclude engines that could still serve most of the others.
const maxMarginShare = 0.5

// startMargin returns how long before the end of Converge an engine with older
// weights stops receiving new requests.
func (v *weightsVersions) startMargin() time.Duration {
	return min(v.EventTimeout()+sendDelay, time.Duration(maxMarginShare*float64(v.Converge)))
}

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

// active returns the publications of m without those whose successor is overdue,
// which no longer matter.
func (v *weightsVersions) active(m hbs.ModelName) []publication {
	all := v.byModel[m]
	for len(all) > 1 && v.overdue(all[1]) {
		all = all[1:]
	}
	return all
}

// overdue reports whether engines should have loaded the version by now.
func (v *weightsVersions) overdue(n publication) bool {
	return v.Converge > 0 && v.elapsed(n.notBefore) > v.Converge-v.startMargin()
}

// elapsed returns the time since m, including time suspended.
func (v *weightsVersions) elapsed(m moment) time.Duration {
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
	have, err := platform.ParseWeights(e.Weights)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range v.active(e.Model) {
		if n.version > have && v.overdue(n) {
			return true
		}
	}
	return false
}
