package placement

import (
	"math"
	"time"
)

// Rendezvous hashing spreads prefixes evenly only when there are many more
// prefixes than endpoints. A few prefixes with most of the demand make some
// endpoints the home of far more work than others, and prompts that spill over
// from those are computed again elsewhere. So each endpoint has a weight in the
// hashing, which falls while the demand at home there is above the mean.
//
// Every instance derives the weights from the same sums of demand, its own and
// its peers', and moves each weight towards the mean of its peers' weights, so
// that the instances agree. An instance that starts thereby adopts the weights
// of its peers.

const (
	// demandHalfLife is the half-life of the moving average of demand.
	demandHalfLife = 8 * time.Second
	// rebalanceInterval is the time between two updates of the weights.
	rebalanceInterval = 500 * time.Millisecond
	// maxBias bounds the absolute value of the logarithm of a weight.
	maxBias = 2
	// minHomeDemand is the least mean demand, in engines, at which weights are
	// updated, and the least demand of an endpoint that is reported to peers.
	minHomeDemand = 0.01
)

// Parameters of one update of the weights.
var (
	// balanceGain is the fraction of the imbalance that an update corrects.
	balanceGain = 0.15
	// balanceTolerance is the imbalance, as a logarithm, that is not corrected.
	balanceTolerance = 0.15
	// peerPull is the fraction of the difference to the mean of the peers'
	// weights that an update removes.
	peerPull = 0.3
)

// balance holds an endpoint's weight in rendezvous hashing and this instance's
// demand for prompts at home on the endpoint.
type balance struct {
	// bias is the logarithm of the weight.
	bias float64
	// inverse is 1/weight; it is set only when bias is not 0.
	inverse float64
	// localDemand is a moving average, in engines, as of the time updated.
	localDemand float64
	updated     time.Time
}

// rank returns the rank of an endpoint with this hash value for a key; the
// highest come first. Weighted rendezvous hashing ranks by -w/ln(u), where w is
// the weight and u the hash value scaled to below 1. For u close to 1, as it is
// for the highest ranks, (u-1)/w gives the same order without a logarithm for
// each endpoint.
func (b *balance) rank(hash uint64) float64 {
	u := float64(hash>>11) / (1 << 53)
	if b.bias == 0 {
		return u - 1
	}
	return (u - 1) * b.inverse
}

// setBias sets the logarithm of the weight, within maxBias.
func (b *balance) setBias(bias float64) {
	b.bias = min(max(bias, -maxBias), maxBias)
	b.inverse = math.Exp(-b.bias)
}

// addWork adds work, in seconds of engine time, to the demand.
func (b *balance) addWork(work float64, now time.Time) {
	b.localDemand = b.decayedDemand(now) + work*math.Ln2/demandHalfLife.Seconds()
}

// decayedDemand returns this instance's demand, in engines, at the time now.
func (b *balance) decayedDemand(now time.Time) float64 {
	if d := now.Sub(b.updated); d > 0 {
		b.localDemand *= math.Exp2(-d.Seconds() / demandHalfLife.Seconds())
		b.updated = now
	}
	return b.localDemand
}

// rebalance updates the weights of the group's endpoints. It keeps the mean of
// their logarithms at 0.
func (g *group) rebalance(now time.Time) {
	if now.Sub(g.rebalanced) < rebalanceInterval || len(g.members) < 2 {
		return
	}
	g.rebalanced = now
	mean := 0.0
	for _, m := range g.members {
		mean += m.homeDemand(now) / float64(len(g.members))
	}
	if mean < minHomeDemand {
		return
	}
	center := 0.0
	for _, m := range g.members {
		m.stepWeight(mean, now)
		center += m.balance.bias / float64(len(g.members))
	}
	for _, m := range g.members {
		m.balance.setBias(m.balance.bias - center)
	}
}

// homeDemand returns the demand of all instances for prompts at home on m.
func (m *member) homeDemand(now time.Time) float64 {
	peers, _ := m.ledger.PeerTotal()
	return m.balance.decayedDemand(now) + peers.HomeDemand
}

// stepWeight moves the weight of m towards those of the peers and, where the
// demand for m differs from the mean, against that difference.
func (m *member) stepWeight(mean float64, now time.Time) {
	if peers, n := m.ledger.PeerTotal(); n > 0 {
		m.balance.bias += peerPull * (peers.LogWeight/float64(n) - m.balance.bias)
	}
	imbalance := math.Log((m.homeDemand(now) + mean/10) / (mean + mean/10))
	if math.Abs(imbalance) > balanceTolerance {
		m.balance.bias -= balanceGain * imbalance
	}
}
