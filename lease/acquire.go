package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// tryAcquire reads the lease and takes it over if it has expired or was released
// (L3, L4, L7).
func (h *Holder) tryAcquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.duration(KnobCallTimeout))
	defer cancel()
	stored, err := h.writer().GetStale(ctx, hbs.ObjectLease, h.objectName())
	switch {
	case object.Is(err, hbs.ErrNotFound):
		if h.mayCreate() {
			h.acquire(ctx, hbs.Object{}, 0)
		}
		return
	case err != nil:
		return
	}
	if stored.Revision != h.stored.Revision {
		h.stored, h.firstSeen = stored, time.Now()
	}
	var current Lease
	if err := json.Unmarshal(stored.Value, &current); err != nil || current.Validate() != nil {
		h.log().Error("lease can't be decoded", zap.Error(err))
		return
	}
	if !h.released(&current) && time.Since(h.firstSeen) < current.Duration()+h.duration(KnobOrderLifetime) {
		return
	}
	h.acquire(ctx, stored, current.Fence)
}

// released reports whether the holder of l has released it. What a copy says of a term
// that began before the store was restored may be too old: another one may have followed
// (L8).
func (h *Holder) released(l *Lease) bool {
	return l.Released && l.Fence>>restoreBits == h.restores()
}

// mayCreate reports whether a missing lease may be created (L8).
func (h *Holder) mayCreate() bool {
	n := h.restores()
	if n == 0 {
		return true
	}
	if h.missing.IsZero() || n != h.missingRestores {
		h.missing, h.missingRestores = time.Now(), n
	}
	return time.Since(h.missing) >= h.duration(KnobDuration)+h.duration(KnobOrderLifetime)
}

func (h *Holder) restores() uint64 {
	if h.Restores == nil {
		return 0
	}
	return h.Restores()
}

// restoreBits is the number of bits of a fencing number below the number of restores,
// enough for a takeover each second for a century.
const restoreBits = 32

// nextFence returns the fencing number of the term after one with the number last, 0 if
// there is none, in a store that was restored so many times (L4, L8).
func nextFence(last, restores uint64) uint64 { return max(last, restores<<restoreBits) + 1 }

// acquire writes a new term after one with the fencing number last. If it is not known
// in time whether the write took effect, there is no grant; if it did, later reads see a
// new revision, which expires like any other.
func (h *Holder) acquire(ctx context.Context, old hbs.Object, last uint64) {
	restores := h.restores()
	fence := nextFence(last, restores)
	l := Lease{Holder: h.Self.ID, Term: rand.Text(), Fence: fence, DurationSeconds: h.duration(KnobDuration).Seconds()}
	sent := time.Now()
	stored, err := h.put(ctx, old.Revision, l)
	if err != nil {
		return
	}
	if stored.Revision.Restores() != restores {
		h.log().Info("lease not taken, the store was restored meanwhile", zap.Uint64("fence", fence))
		return
	}
	h.missing = time.Time{}
	h.grant(stored, l, sent)
	h.inc(meterTaken)
	h.log().Info("lease taken", zap.Uint64("fence", fence))
}

func (h *Holder) put(ctx context.Context, rev hbs.Revision, l Lease) (hbs.Object, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return hbs.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.duration(KnobCallTimeout))
	defer cancel()
	isThisWrite := func(value json.RawMessage) bool {
		var stored Lease
		return json.Unmarshal(value, &stored) == nil && stored.Term == l.Term && stored.Renewals == l.Renewals && stored.Released == l.Released
	}
	return h.writer().Put(ctx, hbs.Object{Kind: hbs.ObjectLease, Name: h.objectName(), Revision: rev, Value: value}, isThisWrite)
}
