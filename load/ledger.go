// Package load estimates the outstanding work of each endpoint.
//
// The estimate combines three sources. The instance's own outstanding work is
// known exactly. Each peer reports its outstanding work a few times a second. An
// endpoint's load report covers the work of all senders but arrives late, so only
// the part that neither the instance nor its peers accounted for when it was made
// is used.
package load

import (
	"iter"
	"slices"
	"time"
)

const (
	// unattributedHalfLife is the age at which half of the work known only from an
	// endpoint's report still counts.
	unattributedHalfLife = 500 * time.Millisecond
	// peerTTL is the age at which a peer's report expires.
	peerTTL = 1500 * time.Millisecond
)

// Attempt is one attempt that this instance sent to an endpoint.
type Attempt struct {
	// Started is when the endpoint was chosen for the attempt.
	Started time.Time
	// Prefill is the number of prompt tokens that the engine has to compute, or 0
	// once the first output token has arrived.
	Prefill int
	// Expected is the predicted time from Started to the first output token.
	Expected time.Duration
	// Favoured attempts are served by the endpoint before all others.
	Favoured bool
}

// Count is an amount of outstanding work.
type Count struct {
	// Running is the number of requests, including queued ones.
	Running float64
	// Prefill is the number of prompt tokens still to be computed.
	Prefill float64
	// HomeDemand is the demand of the prompts that rendezvous hashing assigns to the
	// endpoint, in engines: 2.0 keeps two engines busy.
	HomeDemand float64
	// LogWeight is the logarithm of the endpoint's weight in rendezvous hashing.
	LogWeight float64
	// SlownessSum and SlownessWeight are the Sum and Weight of the
	// straggler.Evidence on the endpoint's speed.
	SlownessSum, SlownessWeight float64
}

// Ledger holds what is known of one endpoint's outstanding work. It is not safe for
// concurrent use.
type Ledger struct {
	// local holds this instance's outstanding attempts in the order of Start,
	// localPrefill is the sum of their Prefill.
	local        []*Attempt
	localPrefill int
	// favoured is the number of favoured local attempts, favouredPrefill their
	// share of localPrefill.
	favoured, favouredPrefill int
	// lastPrefillDone is when the endpoint last finished a prefill of a local attempt.
	lastPrefillDone time.Time

	peers []peerCount
	// peerTotal is the sum over peers, peerTotalAt the time of the newest peer
	// report that was not zero.
	peerTotal   Count
	peerTotalAt time.Time
	// unattributed is the reported work that neither this instance nor its peers
	// account for.
	unattributed Count
	// unattributedAt is the time of the report that unattributed was derived from.
	unattributedAt time.Time
}

// peerCount is the latest report of one peer.
type peerCount struct {
	peer  uint64
	at    time.Time
	count Count
}

// Start adds attempt a to the outstanding attempts.
func (l *Ledger) Start(a *Attempt) {
	l.local = append(l.local, a)
	l.localPrefill += a.Prefill
	if a.Favoured {
		l.favoured++
		l.favouredPrefill += a.Prefill
	}
}

// Prefilled records that the first output token of attempt a has arrived.
func (l *Ledger) Prefilled(a *Attempt, now time.Time) {
	l.localPrefill -= a.Prefill
	if a.Favoured {
		l.favouredPrefill -= a.Prefill
	}
	if a.Prefill > 0 {
		l.lastPrefillDone = now
	}
	a.Prefill = 0
}

// Finish removes attempt a from the outstanding attempts.
func (l *Ledger) Finish(a *Attempt, now time.Time) {
	l.Prefilled(a, now)
	if i := slices.Index(l.local, a); i >= 0 {
		l.local = slices.Delete(l.local, i, i+1)
		if a.Favoured {
			l.favoured--
		}
	}
}

// Local returns the outstanding work of this instance.
func (l *Ledger) Local() Count {
	return Count{Running: float64(len(l.local)), Prefill: float64(l.localPrefill)}
}

// Favoured estimates the prompt tokens and requests of the favoured work of all
// instances. Peers don't report theirs, so it multiplies the local amounts by the
// number of instances, which get the same mix of requests.
func (l *Ledger) Favoured() (prefill, running float64) {
	instances := float64(len(l.peers) + 1)
	return float64(l.favouredPrefill) * instances, float64(l.favoured) * instances
}

// Waiting yields the local attempts that wait for their first output token, oldest
// first.
func (l *Ledger) Waiting() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for _, a := range l.local {
			if a.Prefill > 0 && !yield(a) {
				return
			}
		}
	}
}

// SetPeer replaces the peer's reported outstanding work on the endpoint by c.
func (l *Ledger) SetPeer(peer uint64, c Count, now time.Time) {
	if c != (Count{}) {
		l.peerTotalAt = now
	}
	for i := range l.peers {
		if l.peers[i].peer == peer {
			l.peerTotal = l.peerTotal.sub(l.peers[i].count).add(c)
			l.peers[i] = peerCount{peer, now, c}
			return
		}
	}
	if c == (Count{}) {
		return
	}
	l.peers = append(l.peers, peerCount{peer, now, c})
	l.peerTotal = l.peerTotal.add(c)
}

// PeerTotal returns the sum of the peers' latest reports and their number.
func (l *Ledger) PeerTotal() (Count, int) { return l.peerTotal, len(l.peers) }

// ExpirePeers removes expired peer reports. It is called a few times a second.
func (l *Ledger) ExpirePeers(now time.Time) {
	l.peers = slices.DeleteFunc(l.peers, func(p peerCount) bool { return now.Sub(p.at) > peerTTL })
	l.peerTotal = Count{}
	for _, p := range l.peers {
		l.peerTotal = l.peerTotal.add(p.count)
	}
}

// ApplyReport applies the endpoint's report of its outstanding work at the
// given time. A report older than the last one is ignored.
func (l *Ledger) ApplyReport(c Count, at time.Time) {
	if at.Before(l.unattributedAt) {
		return
	}
	local := Count{}
	for _, a := range l.local {
		if a.Started.Before(at) {
			local.Running++
			local.Prefill += float64(a.Prefill)
		}
	}
	l.unattributed = c.sub(local).sub(l.peerTotal).nonNegative()
	l.unattributedAt = at
}

// Total estimates the Running and Prefill of all senders together. rate is the endpoint's
// prefill rate in tokens per second.
func (l *Ledger) Total(now time.Time, rate float64) Count {
	sum := l.Local()
	localDone := l.oldestPrefillDone(now, rate)
	sum.Prefill = max(0, sum.Prefill-localDone)
	decay := decayFactor(now.Sub(l.unattributedAt))
	sum.Running += l.peerTotal.Running + l.unattributed.Running*decay
	// The endpoint has computed part of the peers' prompts since the newest report, in
	// the time that it did not need for the local one.
	peersDone := max(0, rate*now.Sub(l.peerTotalAt).Seconds()-localDone)
	sum.Prefill += max(0, l.peerTotal.Prefill-peersDone)
	sum.Prefill += l.unattributed.Prefill * decay
	return sum
}

// oldestPrefillDone estimates how many tokens of the oldest unfinished local prefill
// are computed by now.
func (l *Ledger) oldestPrefillDone(now time.Time, rate float64) float64 {
	for _, a := range l.local {
		if a.Prefill == 0 {
			continue
		}
		since := a.Started
		if l.lastPrefillDone.After(since) {
			since = l.lastPrefillDone
		}
		return min(float64(a.Prefill), rate*now.Sub(since).Seconds())
	}
	return 0
}

func (c Count) add(d Count) Count {
	return Count{c.Running + d.Running, c.Prefill + d.Prefill, c.HomeDemand + d.HomeDemand, c.LogWeight + d.LogWeight, c.SlownessSum + d.SlownessSum, c.SlownessWeight + d.SlownessWeight}
}

func (c Count) sub(d Count) Count {
	return Count{c.Running - d.Running, c.Prefill - d.Prefill, c.HomeDemand - d.HomeDemand, c.LogWeight - d.LogWeight, c.SlownessSum - d.SlownessSum, c.SlownessWeight - d.SlownessWeight}
}

// nonNegative returns the Running and Prefill of c, each at least 0.
func (c Count) nonNegative() Count {
	return Count{Running: max(0, c.Running), Prefill: max(0, c.Prefill)}
}

// decayFactor returns the share of unattributed work that still counts at the given
// age.
func decayFactor(age time.Duration) float64 {
	x := float64(age) / float64(unattributedHalfLife)
	if x > 6 {
		return 0
	}
	return 1 / (1 + x*x)
}
