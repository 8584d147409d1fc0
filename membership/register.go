package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// register stores this instance's record after a random delay, so that instances
// that start together don't all write at once. It retries until it succeeds.
func (d *Directory) register(ctx context.Context, jitter *rand.Rand) error {
	spread := d.Policy.Duration(KnobRegisterSpread, hbs.Scope{})
	pause := time.Duration(jitter.Int64N(int64(spread) + 1))
	for {
		_ = delay.For(ctx, pause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := d.registerOnce(ctx)
		if err == nil {
			break
		}
		d.counter(meterRegisterFailures).Inc(1)
		pause = spread + time.Duration(jitter.Int64N(int64(spread)+1))
	}
	<-ctx.Done()
	return ctx.Err()
}

// registerOnce stores this instance's record unless the instance is stopping: Leave
// has stored it then, and Withdraw may have deleted it since.
func (d *Directory) registerOnce(ctx context.Context) error {
	unlock, err := d.lockRecord(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	if d.leaving.Load() {
		return nil
	}
	if err := d.storeRecord(ctx); err != nil {
		return err
	}
	d.Log.Info("instance registered", zap.String("id", string(d.Record.ID)))
	return nil
}

// lockRecord waits for recordLock until ctx ends. The caller calls unlock once.
func (d *Directory) lockRecord(ctx context.Context) (unlock func(), err error) {
	select {
	case d.recordLock <- struct{}{}:
		return func() { <-d.recordLock }, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "record of instance %q is being written", d.Record.ID)
	}
}

// storeRecord overwrites any record that a previous run of this instance left. If
// the response to a write is lost, the retry may get a conflict; repeating it is
// safe because the record is the same. The caller holds recordLock.
func (d *Directory) storeRecord(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "register instance %q", d.Record.ID) }()
	self := d.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	obj := hbs.Object{Kind: hbs.ObjectInstance, Name: string(self.ID), Value: value}
	old, err := d.Platform.Get(ctx, obj.Kind, obj.Name)
	if errors.Is(err, hbs.ErrNotFound) {
		_, err = d.Platform.Create(ctx, obj)
		return err
	}
	if err != nil {
		return err
	}
	obj.Revision = old.Revision
	_, err = d.Platform.Update(ctx, obj)
	return err
}

// Leave announces to peers and the platform that this instance is stopping.
// Heartbeats carry the new state from now on, even if the platform call fails.
func (d *Directory) Leave(ctx context.Context) error {
	d.init()
	d.leaving.Store(true)
	d.Refresh()
	if d.Platform == nil {
		return nil
	}
	unlock, err := d.lockRecord(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	return d.storeRecord(ctx)
}

// Withdraw deletes this instance's record, as the last step of a planned shutdown.
func (d *Directory) Withdraw(ctx context.Context) (err error) {
	d.init()
	defer func() { err = errors.Wrapf(err, "withdraw instance %q", d.Record.ID) }()
	if d.Platform == nil {
		return nil
	}
	unlock, err := d.lockRecord(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	obj, err := d.Platform.Get(ctx, hbs.ObjectInstance, string(d.Record.ID))
	if errors.Is(err, hbs.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return d.Platform.Delete(ctx, obj.Kind, obj.Name, obj.Revision)
}

// deleteStaleRecords deletes the records of instances of the local domain whose
// heartbeats have been missing for KnobStaleRecordAge: a crashed instance that
// was replaced under another name can't delete its record.
func (d *Directory) deleteStaleRecords(ctx context.Context) error {
	missingSince := map[string]time.Time{}
	for {
		after := d.Policy.Duration(KnobStaleRecordAge, hbs.Scope{})
		_ = delay.For(ctx, after/4)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		d.updateMissing(missingSince)
		if d.IsRepresentative == nil || !d.IsRepresentative() {
			continue
		}
		for name, since := range missingSince {
			if time.Since(since) >= after {
				d.deleteRecord(ctx, name)
			}
		}
	}
}

// updateMissing records since when each listed instance of the local domain has
// been without heartbeats.
func (d *Directory) updateMissing(missingSince map[string]time.Time) {
	live := map[string]bool{}
	for _, i := range d.Roster().Instances {
		live[string(i.ID)] = true
	}
	listed := map[string]bool{}
	list, _ := d.listedInstances.Read()
	for _, r := range list {
		name := string(r.Value.ID)
		if r.Value.Domain != d.Record.Domain || live[name] {
			continue
		}
		listed[name] = true
		if _, ok := missingSince[name]; !ok {
			missingSince[name] = time.Now()
		}
	}
	for name := range missingSince {
		if !listed[name] {
			delete(missingSince, name)
		}
	}
}

func (d *Directory) deleteRecord(ctx context.Context, name string) {
	u, ok := d.Objects.Get(hbs.ObjectInstance, name)
	if !ok {
		return
	}
	if err := d.Platform.Delete(ctx, u.Kind, u.Name, u.Revision); err != nil {
		return
	}
	d.counter(meterRecordsDeleted).Inc(1)
	d.Log.Info("deleted record of an instance without heartbeats", zap.String("id", name))
}
