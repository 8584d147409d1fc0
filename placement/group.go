package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// groupKey names a model or a plain service.
type groupKey struct {
	model   hbs.ModelName
	service hbs.ServiceName
}

func keyOf(req *hbs.Request) groupKey {
	return groupKey{model: req.Model, service: req.Service}
}

// group is what is known of the endpoints of one model or service.
type group struct {
	key     groupKey
	members []*member
	scores  []*straggler.Score
	rates   rates
	tuning  tuning
	judged  time.Time
	// balanced is when the homes were balanced last.
	balanced time.Time

	// eligible is emptied when the roster changes.
	eligible map[eligibleKey][]*member
	// candidates are the endpoints of the present decision, set those of the
	// level being looked at.
	candidates, set []*member
	// homes are the endpoints in the set of the whole prompt.
	homes []*member
	// kept is the longest prefix of the prompt that is kept for keptWeights, as of
	// the decision keptSeen.
	kept        hbs.Level
	keptWeights hbs.WeightsVersion
	keptSeen    uint64
	// sources are the two endpoints that are believed to have most of the prompt
	// cached, the first one in front; nil where there is none.
	sources [2]*member
	// shared is the length of the prompt's prefix that other requests use too.
	shared float64
}

// judgeEvery is the time between two judgements of a group's endpoints.
const judgeEvery = 50 * time.Millisecond

const (
	// overdueShare and overdueSlack tell when a first token is overdue: after
	// so many times the predicted time, plus the slack.
	overdueShare = 2
	overdueSlack = 100 * time.Millisecond
)

// judge looks for overdue attempts and judges the endpoints anew.
func (g *group) judge(now time.Time) {
	if now.Sub(g.judged) < judgeEvery {
		return
	}
	g.judged = now
	for _, m := range g.members {
		m.score.Overdue(m.overdue(now))
		peers, _ := m.ledger.Peers()
		m.score.Peers(straggler.Evidence{Sum: peers.Slow, Weight: peers.Seen})
	}
	straggler.Judge(g.scores, now)
}

// overdue returns the ratio of the attempt that is the most overdue, or 0.
func (m *member) overdue(now time.Time) (worst float64) {
	for b := range m.ledger.Waiting() {
		elapsed := now.Sub(b.Started)
		if elapsed > overdueShare*b.Expected+overdueSlack {
			worst = max(worst, straggler.Ratio(elapsed, b.Expected))
		}
	}
	return worst
}
