package quarantine

import (
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// sampleInterval is the time between two samples of a balance, and maxSamples the
	// number that is kept.
	sampleInterval = 250 * time.Millisecond
	maxSamples     = 240
)

// balance counts the attempts of this instance for one model, since the process
// started.
type balance struct{ answered, crashed int }

// history is a balance with its past: a crash that another instance tells of was some
// time ago.
type history struct {
	now balance
	// samples are in order.
	samples []sample
}

// sample is a balance up to a time.
type sample struct {
	at time.Time
	balance
}

// at returns the balance at a time or somewhat later.
func (h *history) at(at time.Time) balance {
	if h == nil {
		return balance{}
	}
	i, _ := slices.BinarySearchFunc(h.samples, at, func(s sample, at time.Time) int { return s.at.Compare(at) })
	if i < len(h.samples) {
		return h.samples[i].balance
	}
	return h.now
}

// balance returns the balance of a model.
func (t *Tracker) balance(model hbs.ModelName) balance {
	if h := t.balances[model]; h != nil {
		return h.now
	}
	return balance{}
}

// add adds to the balance of a model.
func (t *Tracker) add(model hbs.ModelName, b balance, now time.Time) {
	h := t.balances[model]
	if h == nil {
		if t.balances == nil {
			t.balances = map[hbs.ModelName]*history{}
		}
		h = &history{}
		t.balances[model] = h
	}
	if n := len(h.samples); n == 0 || now.Sub(h.samples[n-1].at) >= sampleInterval {
		h.samples = append(slices.Delete(h.samples, 0, max(n-maxSamples+1, 0)), sample{now, h.now})
	}
	h.now.answered += b.answered
	h.now.crashed += b.crashed
}
