// Package backpressure decides when an endpoint may be sent the next request, by what
// the endpoint reported in its responses.
//
// Rules:
//
//  1. A limit is the number of requests per second that an endpoint takes from all
//     instances together. It holds from the response that names it until one to a
//     request sent after that names none: responses on different connections overtake
//     each other.
//  2. Instances don't tell each other what they send. So they divide a limit evenly,
//     each with a token bucket for its share. Only so many of them have a share that
//     all may send a request at the same time: those with the highest rendezvous
//     hashes for the endpoint, which all instances compute alike.
//  3. An instance has no share either while it doesn't know the others. One without a
//     share sends a request at times, to learn whether the limit still holds. It may do
//     so in a short slot after a wait that grows with the number of such instances, so
//     that few of them send at the same time however long none had a request for the
//     endpoint.
//  4. An endpoint that refuses a request may want none from this instance for some time.
//     A later response doesn't shorten it. It ends with a delay drawn at random, so that
//     instances don't come back at the same moment.
package backpressure

import (
	"math/rand/v2"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// State is what one incarnation of an endpoint asked for. Its exported fields must be set
// before use.
type State struct {
	Endpoint hbs.EndpointID
	// Shares divides limits between the instances; not nil.
	Shares *Shares

	// pausedUntil is the end of the time in which the endpoint wants no requests from
	// this instance (rule 4).
	pausedUntil time.Time
	// limited is set while a limit holds. limit is its value, namedAt when a response
	// last named it.
	limited bool
	limit   float64
	namedAt time.Time
	// bucket has the requests that this instance may send if it has a share.
	bucket bucket
	// share is this instance's part of the limit, sharedAt when it was computed.
	share    share
	sharedAt time.Time
	// probeAt is the start of the next slot in which an instance without a share may
	// send a request.
	probeAt time.Time
}

// shareInterval is the time between two computations of a share, as instances join and
// leave.
const shareInterval = time.Second

// maxSpread and spreadShare, of the pause, bound the delay of rule 4.
const (
	maxSpread   = time.Second
	spreadShare = 0.1
)

// pause records that the endpoint wants no requests for d. It reports whether that
// prolongs the time.
func (s *State) pause(now time.Time, d time.Duration) bool {
	if d <= 0 || !now.Add(d).After(s.pausedUntil) {
		return false
	}
	spread := min(maxSpread, time.Duration(spreadShare*float64(d)))
	s.pausedUntil = now.Add(d + rand.N(spread+1))
	return true
}

// Paused returns the end of the time in which the endpoint wants no requests from this
// instance; ok is false if it takes some now.
func (s *State) Paused(now time.Time) (until time.Time, ok bool) {
	return s.pausedUntil, s.pausedUntil.After(now)
}

// Observe records what the endpoint reported at now in the response to a request that was
// sent at sent. It reports whether a limit began, changed or ended, or a pause began.
func (s *State) Observe(now, sent time.Time, signals hbs.EndpointSignals) (changed bool) {
	paused := s.pause(now, signals.PauseFor)
	return s.observeLimit(now, sent, signals) || paused
}

func (s *State) observeLimit(now, sent time.Time, signals hbs.EndpointSignals) (changed bool) {
	switch {
	case signals.Limited:
		changed = !s.limited || s.limit != signals.RequestsPerSecond
		s.name(now, signals.RequestsPerSecond)
	case signals.Malformed != "":
		return false
	case s.limited && sent.After(s.namedAt): // rule 1
		changed, s.limited = true, false
	}
	return changed
}

// name records that the endpoint named a limit.
func (s *State) name(now time.Time, limit float64) {
	begins := !s.limited
	s.limited, s.namedAt = true, now
	if begins || s.limit != limit {
		s.limit = limit
		s.updateShare(now)
	}
	if begins {
		s.bucket.fill(now)
	}
	s.delayProbe(now)
}

// Limit returns the limit that holds; ok is false without one.
func (s *State) Limit() (perSecond float64, ok bool) {
	if !s.limited {
		return 0, false
	}
	return s.limit, true
}

// Share returns this instance's part of the limit in requests per second, 0 without one.
func (s *State) Share() float64 {
	if !s.limited {
		return 0
	}
	return s.share.rate
}

// Next returns when the endpoint may be sent the next request; a time that is not after
// now means at once.
func (s *State) Next(now time.Time) time.Time {
	if !s.limited {
		return time.Time{}
	}
	if now.Sub(s.sharedAt) >= shareInterval {
		s.updateShare(now)
	}
	if s.share.rate > 0 {
		return s.bucket.next(now)
	}
	if now.Sub(s.probeAt) > probeSlot { // rule 3
		s.delayProbe(now)
	}
	return s.probeAt
}

// Take counts a request that is sent at now.
func (s *State) Take(now time.Time) {
	if !s.limited {
		return
	}
	s.bucket.take(now)
	s.delayProbe(now)
}

// Return takes back the last Take: the request was not sent.
func (s *State) Return(now time.Time) {
	if s.limited {
		s.bucket.put(now)
	}
}

// updateShare computes this instance's share of the limit.
func (s *State) updateShare(now time.Time) {
	s.share, s.sharedAt = s.Shares.of(s.Endpoint, s.limit), now
	s.bucket.resize(now, s.share.rate, s.share.burst)
}

// delayProbe starts the wait for the next slot of rule 3.
func (s *State) delayProbe(now time.Time) {
	s.probeAt = now.Add(s.share.probeWait/2 + rand.N(s.share.probeWait+1))
}
