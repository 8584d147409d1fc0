package gateway

import (
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/converge"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// versions are the versions of weights that were named, by model.
type versions struct {
	// Converge is the time after which older weights may not be used; 0 is never.
	Converge time.Duration

	mu    sync.Mutex
	named map[hbs.ModelName][]naming
}

// naming is one version and a time before which it was not named. That of the
// versions which an instance finds at its start is zero: they may be old.
type naming struct {
	version int64
	at      time.Time
}

// startMargin is how long before the end of Converge an engine with older weights
// gets no more work. Requests may wait at an engine before they run.
const startMargin = 2 * time.Second

// name takes a version, which only grows and was not named before after, and
// reports whether it is news.
func (v *versions) name(n platform.NamedWeights, after time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.named == nil {
		v.named = map[hbs.ModelName][]naming{}
	}
	if n.Version <= v.newest(n.Model) {
		return false
	}
	v.named[n.Model] = append(v.due(n.Model), naming{n.Version, after})
	return true
}

// due returns the namings of m without those that a later one has overtaken.
func (v *versions) due(m hbs.ModelName) []naming {
	all := v.named[m]
	for len(all) > 1 && v.over(all[1]) {
		all = all[1:]
	}
	return all
}

// over reports whether the time to take a version is over.
func (v *versions) over(n naming) bool {
	return v.Converge > 0 && time.Since(n.at) > v.Converge-startMargin
}

func (v *versions) newest(m hbs.ModelName) int64 {
	all := v.named[m]
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1].version
}

// wanted returns the newest version of a model; 0 for none.
func (v *versions) wanted(m hbs.ModelName) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest(m)
}

// lagging returns the engines with older weights than the newest ones.
func (g *Gateway) lagging(es []hbs.Endpoint) map[hbs.EndpointID]hbs.Rollout {
	return converge.Lagging(es, g.versions.wanted)
}

// tooOld reports whether the weights of e should have been replaced by now.
func (v *versions) tooOld(e *hbs.Endpoint) bool {
	have, err := platform.ParseWeights(e.Weights)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range v.due(e.Model) {
		if n.version > have && v.over(n) {
			return true
		}
	}
	return false
}
