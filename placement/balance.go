package placement

import (
	"math"
	"time"
)

// Rendezvous hashing spreads prefixes evenly only when there are many more of
// them than endpoints. A few prefixes with most of the demand make some
// endpoints the home of far more work than others, and what spills from those
// is computed again elsewhere. So each endpoint has a weight in the hashing that
// falls while more demand than the mean is at home there.
//
// Every instance derives the weights from the same sums of demand, its own and
// its peers', and pulls its own weight towards the peers', so that they agree;
// one that starts takes over theirs.

const (
	// homeHalfLife is how fast demand at home is forgotten.
	homeHalfLife = 8 * time.Second
	// balanceEvery is the time between two steps of the weights.
	balanceEvery = 500 * time.Millisecond
	// maxBias bounds the logarithm of a weight.
	maxBias = 2
	// leastHome is the demand from which peers are told of it, in engines.
	leastHome = 0.01
)

// Steps of the weights.
var (
	// balanceGain is the part of the imbalance taken away in one step.
	balanceGain = 0.15
	// balanceSlack is the imbalance that is left alone.
	balanceSlack = 0.15
	// balancePull is the part of the difference to the peers' mean taken away in
	// one step.
	balancePull = 0.3
)

// balance is an endpoint's weight and the own demand of prompts at home there.
type balance struct {
	// bias is the logarithm of the weight.
	bias float64
	// inverse is one over the weight when bias is not 0.
	inverse float64
	own     float64
	at      time.Time
}

// weight returns the rendezvous weight for a hash value. Weighted rendezvous
// hashing takes the largest -w/ln(u); near its largest values, u close to 1, that
// orders like (u-1)/w, which costs no logarithm for each endpoint.
func (b *balance) weight(hash uint64) float64 {
	u := float64(hash>>11) / (1 << 53)
	if b.bias == 0 {
		return u - 1
	}
	return (u - 1) * b.inverse
}

// set changes the weight's logarithm.
func (b *balance) set(bias float64) {
	b.bias = min(max(bias, -maxBias), maxBias)
	b.inverse = math.Exp(-b.bias)
}

// use counts work in seconds.
func (b *balance) use(work float64, now time.Time) {
	b.own = b.home(now) + work*math.Ln2/homeHalfLife.Seconds()
}

// home returns the own demand in engines.
func (b *balance) home(now time.Time) float64 {
	if d := now.Sub(b.at); d > 0 {
		b.own *= math.Exp2(-d.Seconds() / homeHalfLife.Seconds())
		b.at = now
	}
	return b.own
}

// rebalance moves the weights of a group by one step.
func (g *group) rebalance(now time.Time) {
	if now.Sub(g.balanced) < balanceEvery || len(g.members) < 2 {
		return
	}
	g.balanced = now
	mean := 0.0
	for _, m := range g.members {
		mean += m.demand(now) / float64(len(g.members))
	}
	if mean < leastHome {
		return
	}
	center := 0.0
	for _, m := range g.members {
		m.step(mean, now)
		center += m.balance.bias / float64(len(g.members))
	}
	for _, m := range g.members {
		m.balance.set(m.balance.bias - center)
	}
}

// demand returns the demand of all instances for prompts at home on m.
func (m *member) demand(now time.Time) float64 {
	peers, _ := m.ledger.Peers()
	return m.balance.home(now) + peers.Home
}

func (m *member) step(mean float64, now time.Time) {
	if peers, n := m.ledger.Peers(); n > 0 {
		m.balance.bias += balancePull * (peers.Bias/float64(n) - m.balance.bias)
	}
	off := math.Log((m.demand(now) + mean/10) / (mean + mean/10))
	if math.Abs(off) > balanceSlack {
		m.balance.bias -= balanceGain * off
	}
}
