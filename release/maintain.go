package release

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/rendezvous"
)

const (
	// turnTime is the time by which each instance leaves a write to the one before it
	// (rule 8), maxTurns bounds the instances that are waited for.
	turnTime = 250 * time.Millisecond
	maxTurns = 40
	// confirmInterval is the time between two checks whether all instances know a record.
	confirmInterval = time.Second
	// idleInterval bounds the time between two checks of all records.
	idleInterval = 10 * time.Second
)

// Run writes records and this instance's streams until ctx ends. The records are read by
// whoever watches them and arrive through PutRecord and RemoveRecord.
func (k *Keeper) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "releases") }()
	k.init()
	p := pool.New().WithContext(ctx).WithCancelOnError()
	p.Go(k.storeStreams)
	p.Go(k.maintain)
	return p.Wait()
}

// PutRecord stores a record that was read.
func (k *Keeper) PutRecord(obj *hbs.Object) {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.putRecord(obj)
	k.recordsSeen(obj.Revision)
}

// putRecord stores a record. The caller holds mu.
func (k *Keeper) putRecord(obj *hbs.Object) {
	r, err := decodeRecord(obj)
	if err != nil {
		k.Log.Warn("record not read", zap.Error(err))
		r = record{Phase: phaseFree}
	}
	service := hbs.ServiceName(obj.Name)
	if st := k.states[service]; st != nil && st.revision == obj.Revision {
		return
	}
	k.states[service] = &state{record: r, revision: obj.Revision, readAt: time.Now()}
	if r.Phase.ambiguous() {
		k.store.request()
	}
	k.Log.Info("record of software versions read", zap.String("service", obj.Name), zap.Any("shares", r.Shares), zap.String("phase", string(r.Phase)),
		zap.Uint64("revision", uint64(obj.Revision)))
}

// recordsSeen tells that all records up to a revision were stored. The caller holds mu.
func (k *Keeper) recordsSeen(rev hbs.Revision) {
	k.seen = max(k.seen, rev)
	k.changed.Send()
}

// ReplaceRecords stores a complete listing of the records.
func (k *Keeper) ReplaceRecords(objs []hbs.Object) {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	listed, newest := map[hbs.ServiceName]bool{}, k.seen
	for i := range objs {
		listed[hbs.ServiceName(objs[i].Name)] = true
		newest = max(newest, objs[i].Revision)
		k.putRecord(&objs[i])
	}
	maps.DeleteFunc(k.states, func(service hbs.ServiceName, _ *state) bool { return !listed[service] })
	k.recordsSeen(newest)
}

// RemoveRecord drops a record that was deleted.
func (k *Keeper) RemoveRecord(obj *hbs.Object) {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.states, hbs.ServiceName(obj.Name))
	k.recordsSeen(obj.Revision)
}

// maintain writes the records when they are due, until ctx ends.
func (k *Keeper) maintain(ctx context.Context) error {
	due := map[hbs.ServiceName]dueRecord{}
	for {
		rosterChanged, recordChanged, timesChanged := k.Directory.Changed(), k.recordChanged(), k.ResumeTimesChanged()
		next := idleInterval
		for service := range k.ResumeTimes() {
			next = min(next, k.maintainRecord(ctx, service, due))
		}
		timer := time.NewTimer(next)
		select {
		case <-rosterChanged:
		case <-recordChanged:
		case <-timesChanged:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// dueRecord is a record that has to be written.
type dueRecord struct {
	record
	since time.Time
}

// maintainRecord writes the record of a service if it is due and this instance's turn. It
// returns the time until it has to be called again.
func (k *Keeper) maintainRecord(ctx context.Context, service hbs.ServiceName, due map[hbs.ServiceName]dueRecord) time.Duration {
	slots := k.slots(service)
	if len(slots) == 0 {
		delete(due, service)
		return idleInterval
	}
	k.mu.Lock()
	st := k.states[service]
	k.mu.Unlock()
	next, after, ok := k.nextRecord(st, slots)
	if !ok {
		delete(due, service)
		return k.settle(ctx, service, st)
	}
	if d, ok := due[service]; !ok || !d.equal(next) {
		due[service] = dueRecord{next, time.Now()}
	}
	if wait := after + k.turn(service) - time.Since(due[service].since); wait > 0 {
		return wait
	}
	delete(due, service)
	k.write(ctx, service, st, next)
	return confirmInterval
}

// turn returns how long this instance leaves a write to others (rule 8).
func (k *Keeper) turn(service hbs.ServiceName) time.Duration {
	others, _ := k.Others()
	return turnTime * time.Duration(min(rendezvous.Place(string(service), k.Self, others), maxTurns))
}

// nextRecord returns the record that opens after st, if there has to be one, and how long
// that must have been so before it is written (rules 2 and 6).
func (k *Keeper) nextRecord(st *state, slots versionSlots) (next record, after time.Duration, ok bool) {
	next = record{Shares: slots.shares(), Phase: phaseOpen, Restores: k.Restores()}
	switch {
	case st == nil || len(st.Shares) == 0:
		return next, 0, true
	case st.Restores != next.Restores:
		next.Shares = st.Shares
		return next, 0, true
	case st.Phase == phaseFree:
		return next, min(steadyTime, maxFreeTime-time.Since(st.readAt)), true
	}
	next.Shares, next.Phase = st.Shares, phaseFree
	if slots.lacks(st.Shares) {
		return next, 0, true
	}
	return next, skewTime, slots.skewed(st.Shares)
}

// settle moves a record to its next phase once that is due (rule 4), and returns the time
// until it has to be called again.
func (k *Keeper) settle(ctx context.Context, service hbs.ServiceName, st *state) time.Duration {
	wait, next := idleInterval, record{Shares: st.Shares, Phase: phaseSettled, Restores: st.Restores}
	turn, resumable := 4*k.turn(service), k.ResumeTimes()[service]
	switch st.Phase {
	case phaseKnown:
		wait = turn + resumable - time.Since(st.readAt)
	case phaseOpen:
		wait = turn + confirmInterval - time.Since(st.readAt)
		if wait > 0 {
			break
		}
		if !st.confirmedAt.IsZero() {
			wait = resumable - time.Since(st.confirmedAt)
			break
		}
		known, lossless := k.confirm(ctx, st)
		if !known || !lossless {
			return confirmInterval
		}
		next.Phase = phaseKnown
	}
	if wait > 0 {
		return wait
	}
	k.write(ctx, service, st, next)
	if next.Phase == phaseSettled {
		k.deleteAbandoned(ctx)
	}
	return confirmInterval
}

// confirm reports whether all other instances know a record, records when they first did,
// and reports whether all streams that began by earlier shares are stored.
func (k *Keeper) confirm(ctx context.Context, st *state) (known, lossless bool) {
	silent, objs, ok := k.instances(ctx)
	if !ok {
		return false, false
	}
	lossless = true
	for i := range objs {
		s, err := decodeStreams(&objs[i])
		if err != nil || s.Seen < st.revision {
			lossless = false
			continue
		}
		lossless = lossless && !s.Lossy
		delete(silent, objs[i].Name)
	}
	if len(silent) > 0 && time.Since(st.readAt) < maxSilence {
		return false, false
	}
	if len(silent) > 0 {
		k.Log.Warn("instances not known to have read a record", zap.Strings("instances", slices.Sorted(maps.Keys(silent))), zap.Duration("waited", time.Since(st.readAt)))
	}
	st.confirmedAt = time.Now()
	return true, lossless && len(silent) == 0
}

// instances returns the names of all instances and what instances have stored, also those
// that are gone. ok is false if either isn't known.
func (k *Keeper) instances(ctx context.Context) (names map[string]bool, objs []hbs.Object, ok bool) {
	others, ok := k.Others()
	if !ok {
		return nil, nil, false
	}
	objs, _, err := k.Platform.List(ctx, KindStreams)
	if err != nil {
		k.Log.Debug("instances that know a record not read", zap.Error(err))
		return nil, nil, false
	}
	names = map[string]bool{string(k.Self): true}
	for _, id := range others {
		names[string(id)] = true
	}
	return names, objs, true
}

// deleteAbandoned deletes what instances had stored that are gone.
func (k *Keeper) deleteAbandoned(ctx context.Context) {
	names, objs, ok := k.instances(ctx)
	if !ok {
		return
	}
	for _, o := range objs {
		if names[o.Name] {
			continue
		}
		err := k.Platform.Delete(ctx, KindStreams, o.Name, o.Revision)
		k.Log.Info("attempted to delete streams of an instance that is gone", zap.String("instance", o.Name), zap.Error(err))
	}
}

// write replaces the record of a service, whose last known state is st. The new one arrives
// through PutRecord.
func (k *Keeper) write(ctx context.Context, service hbs.ServiceName, st *state, next record) {
	value, err := json.Marshal(next)
	if err != nil {
		k.Log.Error("record not encoded", zap.Error(err))
		return
	}
	obj := hbs.Object{Kind: KindRecord, Name: string(service), Value: value}
	put := k.Platform.Create
	var from shares
	if st != nil {
		obj.Revision, put, from = st.revision, k.Platform.Update, st.Shares
	}
	_, err = put(ctx, obj)
	k.count(meterRecords)
	k.Log.Info("record of software versions written", zap.String("service", string(service)), zap.Any("from", from),
		zap.Any("shares", next.Shares), zap.String("phase", string(next.Phase)), zap.Error(err))
}
