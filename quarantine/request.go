package quarantine

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// heldCrashes is the number of crashes from which a whole request is held.
	heldCrashes = 2
	// turnTime is the time in which one instance may try a held request: longer than it
	// takes to hear of another's crash. After turnRounds rounds all may.
	turnTime   = 500 * time.Millisecond
	turnRounds = 3
)

// whole reports whether the key is that of a whole request.
func (k partKey) whole() bool { return k.request != "" }

// String returns what is tracked, as refusals name it.
func (k partKey) String() string {
	if k.whole() {
		return "request " + string(k.request)
	}
	return "part " + string(k.id)
}

// reason returns the reason of refusals.
func (k partKey) reason() hbs.Reason {
	if k.whole() {
		return hbs.ReasonRequestQuarantined
	}
	return hbs.ReasonQuarantined
}

// field returns the log field that names what is tracked.
func (k partKey) field() zap.Field {
	if k.whole() {
		return zap.String("fingerprint", string(k.request))
	}
	return zap.String("part", string(k.id))
}

func (k partKey) sameModel(other partKey) bool { return k.model == other.model }

// sameKind reports whether the crashes of one may explain those of the other.
func (k partKey) sameKind(other partKey) bool {
	return k.sameModel(other) && k.whole() == other.whole()
}

// keys returns the keys of the parts of a request, in order, and then that of the whole
// request.
func keys(req *hbs.Request) iter.Seq[partKey] {
	return func(yield func(partKey) bool) {
		for _, id := range req.Parts {
			if !yield(partKey{model: req.Model, id: id}) {
				return
			}
		}
		if req.Fingerprint != "" {
			yield(wholeKey(req))
		}
	}
}

// wholeKey returns the key of the whole request, which has a fingerprint.
func wholeKey(req *hbs.Request) partKey {
	return partKey{model: req.Model, request: req.Fingerprint}
}

// crashSpan returns the time from the first crash that counts to the last.
func (p *part) crashSpan() time.Duration {
	var first, last time.Time
	for _, c := range p.crashes {
		if first.IsZero() || c.moment.Before(first) {
			first = c.moment
		}
		if c.moment.After(last) {
			last = c.moment
		}
	}
	return last.Sub(first)
}

// held returns the time for which a whole request is still kept from engines (rule 11);
// zero if it isn't.
func (t *Tracker) held(k partKey, p *part, id hbs.RequestID, now time.Time) time.Duration {
	p.expire(now)
	if len(p.crashes) < heldCrashes {
		return 0
	}
	if wait := p.trialStart.Add(trialPause).Sub(now); wait > 0 && p.trial != id {
		return wait
	}
	return t.untilTurn(k, now.Sub(p.lastUnder.Add(trialPause)))
}

// untilTurn returns the time until the next turn of this instance to try a held request,
// if turns began some time ago, or begin in -ago. It is zero in a turn and when all turns
// are over. The order of the instances differs from request to request.
func (t *Tracker) untilTurn(k partKey, ago time.Duration) time.Duration {
	place, n := t.place(k)
	first, round := time.Duration(place)*turnTime, time.Duration(n)*turnTime
	switch {
	case ago < first:
		return first - ago
	case ago >= turnRounds*round:
		return 0
	}
	since := (ago - first) % round
	if since < turnTime {
		return 0
	}
	return round - since
}

// place returns the place of this instance in the order of all n.
func (t *Tracker) place(k partKey) (place, n int) {
	if t.Others == nil {
		return 0, 1
	}
	others, _ := t.Others()
	own := turnHash(k, t.Self)
	for _, id := range others {
		if turnHash(k, id) < own {
			place++
		}
	}
	return place, len(others) + 1
}

func turnHash(k partKey, id hbs.InstanceID) uint64 {
	return xxhash.Sum64String(string(k.request) + "\x00" + string(id))
}
