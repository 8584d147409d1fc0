package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// groupKey identifies a model, or a service without models.
type groupKey struct {
	model   hbs.ModelName
	service hbs.ServiceName
}

func keyOf(req *hbs.Request) groupKey {
	return groupKey{model: req.Model, service: req.Service}
}

// group holds the endpoints of one model or service, what was learned of them,
// and the state of the current decision.
type group struct {
	key     groupKey
	members []*member
	scores  []*straggler.Score
	rates   rates
	tuning  tuning
	// lastMember is when a roster last had an endpoint of the group.
	lastMember time.Time
	// evaluated is when the endpoints were last compared for stragglers.
	evaluated time.Time
	// rebalanced is when the hashing weights were last updated.
	rebalanced time.Time

	// eligible caches the endpoints that serve a kind of request. It is cleared
	// when the roster changes.
	eligible map[eligibleKey][]*member
	// candidates are the endpoints considered in the current decision. set is
	// the buffer in which the home sets are narrowed.
	candidates, set []*member
	// homes is the home set of the whole prompt.
	homes []*member
	// stored is the longest prefix of the prompt that is in the shared KV cache
	// store for storedWeights. It was looked up in decision storedDecision.
	stored         hbs.Level
	storedWeights  hbs.WeightsVersion
	storedDecision uint64
	// sources are the two candidates with the most of the prompt believed
	// cached, in that order; nil where there is none.
	sources [2]*member
	// sharedTokens is the length of the prompt's longest prefix that was seen
	// in an earlier request.
	sharedTokens float64
}

// evaluateInterval is the least time between two evaluations of a group's
// endpoints.
const evaluateInterval = 50 * time.Millisecond

// overdueFactor and overdueSlack define when a first token is overdue: when it
// takes longer than overdueFactor times the prediction plus overdueSlack.
const (
	overdueFactor = 2
	overdueSlack  = 100 * time.Millisecond
)

// evaluate updates the slowness of the group's endpoints, from overdue attempts
// and the peers' evidence too.
func (g *group) evaluate(now time.Time) {
	if now.Sub(g.evaluated) < evaluateInterval {
		return
	}
	g.evaluated = now
	for _, m := range g.members {
		m.score.SetOverdue(m.overdue(now))
		peers, _ := m.ledger.PeerTotal()
		m.score.SetPeers(straggler.Evidence{Sum: peers.SlownessSum, Weight: peers.SlownessWeight})
	}
	straggler.Evaluate(g.scores, now)
}

// isOverdue reports whether the first token of an attempt that has run for elapsed
// is overdue.
func isOverdue(a *load.Attempt, elapsed time.Duration) bool {
	return elapsed > overdueFactor*a.Expected+overdueSlack
}

// overdue returns the largest ratio of elapsed to predicted time among the
// overdue attempts on m, or 0 when none is overdue.
func (m *member) overdue(now time.Time) (worst float64) {
	for a := range m.ledger.Waiting() {
		elapsed := now.Sub(a.Started)
		if isOverdue(a, elapsed) {
			worst = max(worst, straggler.Ratio(elapsed, a.Expected))
		}
	}
	return worst
}
