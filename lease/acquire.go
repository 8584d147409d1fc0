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
		h.acquire(ctx, hbs.Object{}, 1)
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
	if !current.Released && time.Since(h.firstSeen) < current.Duration()+h.duration(KnobOrderLifetime) {
		return
	}
	h.acquire(ctx, stored, current.Fence+1)
}

// acquire writes a new term. If it is not known in time whether the write took
// effect, there is no grant; if it did, later reads see a new revision, which
// expires like any other.
func (h *Holder) acquire(ctx context.Context, old hbs.Object, fence uint64) {
	l := Lease{Holder: h.Self.ID, Term: rand.Text(), Fence: fence, DurationSeconds: h.duration(KnobDuration).Seconds()}
	sent := time.Now()
	stored, err := h.put(ctx, old.Revision, l)
	if err != nil {
		return
	}
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
