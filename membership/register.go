package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// register stores this instance's record, after a random pause so that a herd
// of starting instances does not write at once. It tries until it is stored.
func (d *Directory) register(ctx context.Context) error {
	spread := d.Policy.Duration(KnobRegisterSpread, hbs.Scope{})
	pause := time.Duration(d.Rand.Int64N(int64(spread) + 1))
	for {
		_ = delay.For(ctx, pause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := d.storeRecord(ctx, d.Self())
		if err == nil {
			break
		}
		d.counter(meterRegisterFailures).Inc(1)
		pause = spread + time.Duration(d.Rand.Int64N(int64(spread)+1))
	}
	d.Log.Info("instance registered", zap.String("id", string(d.Record.ID)))
	<-ctx.Done()
	return ctx.Err()
}

// storeRecord writes self over whatever record an earlier life left. A write
// whose answer was lost is met again as a conflict and simply repeated: the
// record is the same.
func (d *Directory) storeRecord(ctx context.Context, self hbs.Instance) (err error) {
	defer func() { err = errors.Wrapf(err, "register instance %q", self.ID) }()
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

// Leave tells peers and the platform that this instance stops. Heartbeats carry
// it from now on, whatever the platform answers.
func (d *Directory) Leave(ctx context.Context) error {
	d.init()
	d.leaving.Store(true)
	d.Refresh()
	if d.Platform == nil {
		return nil
	}
	return d.storeRecord(ctx, d.Self())
}

// Withdraw deletes this instance's record, as the last step of a planned stop.
func (d *Directory) Withdraw(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "withdraw instance %q", d.Record.ID) }()
	if d.Platform == nil {
		return nil
	}
	obj, err := d.Platform.Get(ctx, hbs.ObjectInstance, string(d.Record.ID))
	if errors.Is(err, hbs.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return d.Platform.Delete(ctx, obj.Kind, obj.Name, obj.Revision)
}

// tidy deletes the records of instances of the own domain that were silent for
// long: a crashed instance that was replaced under another name can't do it.
func (d *Directory) tidy(ctx context.Context) error {
	silent := map[string]time.Time{}
	for {
		after := d.Policy.Duration(KnobForget, hbs.Scope{})
		_ = delay.For(ctx, after/4)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		d.noteSilent(silent)
		if d.Chosen == nil || !d.Chosen() {
			continue
		}
		for name, since := range silent {
			if time.Since(since) >= after {
				d.forget(ctx, name)
			}
		}
	}
}

// noteSilent keeps since when each listed instance of the own domain has not
// been heard.
func (d *Directory) noteSilent(silent map[string]time.Time) {
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
		if _, ok := silent[name]; !ok {
			silent[name] = time.Now()
		}
	}
	for name := range silent {
		if !listed[name] {
			delete(silent, name)
		}
	}
}

func (d *Directory) forget(ctx context.Context, name string) {
	u, ok := d.Objects.Get(hbs.ObjectInstance, name)
	if !ok {
		return
	}
	if err := d.Platform.Delete(ctx, u.Kind, u.Name, u.Revision); err != nil {
		return
	}
	d.counter(meterForgotten).Inc(1)
	d.Log.Info("record of a silent instance deleted", zap.String("id", name))
}
