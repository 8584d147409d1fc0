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

// seek reads the lease and takes it over when it has lapsed or was released (L3,
// L4, L7).
func (k *Keeper) seek(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.duration(KnobCallTimeout))
	defer cancel()
	stored, err := k.writer().GetStale(ctx, hbs.ObjectLease, k.name())
	switch {
	case object.Is(err, hbs.ErrNotFound):
		k.take(ctx, hbs.Object{}, 1)
		return
	case err != nil:
		return
	}
	if stored.Revision != k.stored.Revision {
		k.stored, k.firstSeen = stored, time.Now()
	}
	var seen Lease
	if err := json.Unmarshal(stored.Value, &seen); err != nil || seen.Validate() != nil {
		k.log().Error("lease can't be decoded", zap.Error(err))
		return
	}
	if !seen.Released && time.Since(k.firstSeen) < seen.Duration()+k.duration(KnobOrderLifetime) {
		return
	}
	k.take(ctx, stored, seen.Fence+1)
}

// take writes a new term. An effect that is not known in time is no grant; the
// next reads see a fresh revision, which lapses like any other.
func (k *Keeper) take(ctx context.Context, old hbs.Object, fence uint64) {
	l := Lease{Holder: k.Self.ID, Term: rand.Text(), Fence: fence, DurationSeconds: k.duration(KnobDuration).Seconds()}
	sent := time.Now()
	stored, err := k.put(ctx, old.Revision, l)
	if err != nil {
		return
	}
	k.grant(stored, l, sent)
	k.inc(meterTaken)
	k.log().Info("lease taken", zap.Uint64("fence", fence))
}

func (k *Keeper) put(ctx context.Context, rev hbs.Revision, l Lease) (hbs.Object, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return hbs.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, k.duration(KnobCallTimeout))
	defer cancel()
	mine := func(value json.RawMessage) bool {
		var stored Lease
		return json.Unmarshal(value, &stored) == nil && stored.Term == l.Term && stored.Renewals == l.Renewals && stored.Released == l.Released
	}
	return k.writer().Put(ctx, hbs.Object{Kind: hbs.ObjectLease, Name: k.name(), Revision: rev, Value: value}, mine)
}
