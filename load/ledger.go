// Package load keeps the view of the endpoints' load.
//
// What an instance knows for certain is its own outstanding work. Peers tell
// theirs a few times a second. An endpoint's report covers everybody's work but
// is late, so only what neither the instance nor its peers had outstanding at
// the time of the report is taken from it.
package load

import (
	"iter"
	"slices"
	"time"
)

const (
	// foreignHalfLife is how fast work known only from a report is forgotten.
	foreignHalfLife = 500 * time.Millisecond
	// peerTTL is how long a peer's word counts.
	peerTTL = 1500 * time.Millisecond
)

// Booking is one attempt of this instance.
type Booking struct {
	// Started is when the attempt was placed.
	Started time.Time
	// Prefill is the number of prompt tokens that the engine computes for it,
	// 0 once the first token arrived.
	Prefill int
	// Expected is the predicted time from Started to the first token.
	Expected time.Duration
	// Favoured attempts are served before those that are not.
	Favoured bool
}

// Count is an amount of outstanding work.
type Count struct {
	// Running is the number of requests, queued ones included.
	Running float64
	// Prefill is the number of prompt tokens not computed yet.
	Prefill float64
	// Home is the demand of the prompts at home on the endpoint, in engines.
	Home float64
	// Bias is the logarithm of the endpoint's weight in rendezvous hashing.
	Bias float64
	// Slow and Seen are evidence on the endpoint's speed, the sum and the weight
	// of package straggler.
	Slow, Seen float64
}

// Ledger is the view of one endpoint's load. It is not safe for concurrent use.
type Ledger struct {
	own     []*Booking
	prefill int
	// favoured counts the own that are served first, favouredPrefill is their part
	// of prefill.
	favoured, favouredPrefill int
	// progressed is when the endpoint last finished a prefill of the own ones.
	progressed time.Time

	peers []peerCount
	// peersSum is the sum of peers, peersAt the time of the newest word.
	peersSum Count
	peersAt  time.Time
	foreign  Count
	// foreignAt is the time of the report that foreign was derived from.
	foreignAt time.Time
}

type peerCount struct {
	peer  uint64
	at    time.Time
	count Count
}

// Start books b.
func (l *Ledger) Start(b *Booking) {
	l.own = append(l.own, b)
	l.prefill += b.Prefill
	if b.Favoured {
		l.favoured++
		l.favouredPrefill += b.Prefill
	}
}

// Prefilled tells that the first token of b arrived.
func (l *Ledger) Prefilled(b *Booking, now time.Time) {
	l.prefill -= b.Prefill
	if b.Favoured {
		l.favouredPrefill -= b.Prefill
	}
	if b.Prefill > 0 {
		l.progressed = now
	}
	b.Prefill = 0
}

// Finish ends b.
func (l *Ledger) Finish(b *Booking, now time.Time) {
	l.Prefilled(b, now)
	if i := slices.Index(l.own, b); i >= 0 {
		l.own = slices.Delete(l.own, i, i+1)
		if b.Favoured {
			l.favoured--
		}
	}
}

// Own returns the own outstanding work.
func (l *Ledger) Own() Count {
	return Count{Running: float64(len(l.own)), Prefill: float64(l.prefill)}
}

// Favoured estimates the prompt tokens and the requests of all outstanding work
// that is served first, from the own: the instances take the same mix.
func (l *Ledger) Favoured() (prefill, running float64) {
	instances := float64(len(l.peers) + 1)
	return float64(l.favouredPrefill) * instances, float64(l.favoured) * instances
}

// Waiting yields the own attempts without a first token, oldest first.
func (l *Ledger) Waiting() iter.Seq[*Booking] {
	return func(yield func(*Booking) bool) {
		for _, b := range l.own {
			if b.Prefill > 0 && !yield(b) {
				return
			}
		}
	}
}

// Peer takes a peer's word of its outstanding work on the endpoint in place of
// its last one.
func (l *Ledger) Peer(peer uint64, c Count, now time.Time) {
	if c != (Count{}) {
		l.peersAt = now
	}
	for i := range l.peers {
		if l.peers[i].peer == peer {
			l.peersSum = l.peersSum.less(l.peers[i].count).plus(c)
			l.peers[i] = peerCount{peer, now, c}
			return
		}
	}
	if c == (Count{}) {
		return
	}
	l.peers = append(l.peers, peerCount{peer, now, c})
	l.peersSum = l.peersSum.plus(c)
}

// Peers returns the sum of what peers told last, and how many have told.
func (l *Ledger) Peers() (Count, int) { return l.peersSum, len(l.peers) }

// Tidy forgets peers that are silent. It is called a few times a second.
func (l *Ledger) Tidy(now time.Time) {
	l.peers = slices.DeleteFunc(l.peers, func(p peerCount) bool { return now.Sub(p.at) > peerTTL })
	l.peersSum = Count{}
	for _, p := range l.peers {
		l.peersSum = l.peersSum.plus(p.count)
	}
}

// Report takes the endpoint's own report of the work that it had at the given
// time. One older than the last is ignored.
func (l *Ledger) Report(c Count, at time.Time) {
	if at.Before(l.foreignAt) {
		return
	}
	own := Count{}
	for _, b := range l.own {
		if b.Started.Before(at) {
			own.Running++
			own.Prefill += float64(b.Prefill)
		}
	}
	l.foreign = c.less(own).less(l.peersSum).positive()
	l.foreignAt = at
}

// Total returns the estimate of all outstanding work. rate is the endpoint's
// prefill rate in tokens a second.
func (l *Ledger) Total(now time.Time, rate float64) Count {
	sum := l.Own()
	sum.Prefill = max(0, sum.Prefill-l.progress(now, rate))
	fade := fade(now.Sub(l.foreignAt))
	sum.Running += l.peersSum.Running + l.foreign.Running*fade
	// The endpoint has worked on the peers' prompts since they told of them.
	sum.Prefill += max(0, l.peersSum.Prefill-rate*now.Sub(l.peersAt).Seconds())
	sum.Prefill += l.foreign.Prefill * fade
	return sum
}

// progress returns how much of the oldest own prefill is done by now.
func (l *Ledger) progress(now time.Time, rate float64) float64 {
	for _, b := range l.own {
		if b.Prefill == 0 {
			continue
		}
		since := b.Started
		if l.progressed.After(since) {
			since = l.progressed
		}
		return min(float64(b.Prefill), rate*now.Sub(since).Seconds())
	}
	return 0
}

func (c Count) plus(d Count) Count {
	return Count{c.Running + d.Running, c.Prefill + d.Prefill, c.Home + d.Home, c.Bias + d.Bias, c.Slow + d.Slow, c.Seen + d.Seen}
}

func (c Count) less(d Count) Count {
	return Count{c.Running - d.Running, c.Prefill - d.Prefill, c.Home - d.Home, c.Bias - d.Bias, c.Slow - d.Slow, c.Seen - d.Seen}
}

func (c Count) positive() Count { return Count{Running: max(0, c.Running), Prefill: max(0, c.Prefill)} }

// fade is the share of foreign work that is still there after age.
func fade(age time.Duration) float64 {
	x := float64(age) / float64(foreignHalfLife)
	if x > 6 {
		return 0
	}
	return 1 / (1 + x*x)
}
