// Package presence counts the instances of a fleet that don't talk to each
// other, by their entries in the platform's store.
//
// Rules:
//
//  1. An instance keeps one entry under its own name and writes it anew every
//     refreshEvery, also after a restart.
//  2. An entry that has not been written for lapseTime of the reader's own clock
//     is that of an instance that is gone: it does not count and is deleted, at
//     the revision that was read.
//  3. While the platform is away the last count holds, and time does not count
//     for rule 2: nobody could write.
package presence

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Kind is the kind of the entries.
const Kind hbs.ObjectKind = "instances"

const (
	// firstPause is that between the first two looks, when many instances start at
	// once; it doubles up to lastPause.
	firstPause = time.Second
	lastPause  = 20 * time.Second
	// absence is the time without an answer after which the platform counts as away.
	absence = 2 * lastPause
	// refreshEvery is the time between two writes of an instance.
	refreshEvery = time.Minute
	// lapseTime is the time without a write after which an instance is gone.
	lapseTime = 5 * refreshEvery
)

// Counter counts the instances. Its exported fields are set before Run.
type Counter struct {
	Platform hbs.Platform
	Self     hbs.InstanceID
	Log      *zap.Logger

	mu    sync.Mutex
	count int

	// The rest belongs to the goroutine of Run.

	seen map[string]sighting
	// looked and written are when the entries were last read and the own one was
	// last written.
	looked, written time.Time
}

// sighting is the newest revision of an entry and when it was first read.
type sighting struct {
	revision hbs.Revision
	at       time.Time
}

// entry is the wire form of an entry's value.
type entry struct {
	// Writes grows with each write, so that each one is a change.
	Writes int64 `json:"writes"`
}

// Count returns the number of instances, this one included, or 0 before it is
// known.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Run keeps the entry and the count until ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	c.seen = map[string]sighting{}
	pause := firstPause
	for {
		if err := c.look(ctx); err != nil && ctx.Err() == nil {
			c.Log.Debug("instances not counted", zap.Error(err))
		}
		if err := delay.For(ctx, pause/2+rand.N(pause)); err != nil {
			return err
		}
		pause = min(2*pause, lastPause)
	}
}

// look reads all entries, keeps the own one and counts.
func (c *Counter) look(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "count instances") }()
	objs, _, err := c.Platform.List(ctx, Kind)
	if err != nil {
		return err
	}
	c.take(objs, time.Now())
	return errors.CombineErrors(c.keep(ctx, objs), c.clean(ctx, objs))
}

// take counts the entries that have not lapsed (rule 2).
func (c *Counter) take(objs []hbs.Object, now time.Time) {
	listed := map[string]sighting{}
	away := now.Sub(c.looked) > absence
	c.looked = now
	n := 1
	for i := range objs {
		o := &objs[i]
		s, ok := c.seen[o.Name]
		if !ok || away || s.revision != o.Revision {
			s = sighting{o.Revision, now}
		}
		listed[o.Name] = s
		if o.Name != string(c.Self) && now.Sub(s.at) < lapseTime {
			n++
		}
	}
	c.seen = listed
	c.mu.Lock()
	defer c.mu.Unlock()
	if n != c.count {
		c.Log.Info("instances counted", zap.Int("from", c.count), zap.Int("to", n))
	}
	c.count = n
}

// keep writes the own entry when it is due (rule 1).
func (c *Counter) keep(ctx context.Context, objs []hbs.Object) (err error) {
	if !c.written.IsZero() && time.Since(c.written) < refreshEvery {
		return nil
	}
	own := hbs.Object{Kind: Kind, Name: string(c.Self)}
	found := false
	for i := range objs {
		if objs[i].Name == own.Name {
			own, found = objs[i], true
		}
	}
	var e entry
	if found {
		// An entry that can't be read is replaced.
		if err := json.Unmarshal(own.Value, &e); err != nil {
			c.Log.Warn("own entry not read", zap.Error(err))
		}
	}
	e.Writes++
	if own.Value, err = json.Marshal(e); err != nil {
		return err
	}
	if found {
		_, err = c.Platform.Update(ctx, own)
	} else {
		_, err = c.Platform.Create(ctx, own)
	}
	if err == nil {
		c.written = time.Now()
	}
	return err
}

// clean deletes the entries that have lapsed (rule 2).
func (c *Counter) clean(ctx context.Context, objs []hbs.Object) (err error) {
	now := time.Now()
	for i := range objs {
		o := &objs[i]
		if o.Name == string(c.Self) || now.Sub(c.seen[o.Name].at) < lapseTime {
			continue
		}
		failed := c.Platform.Delete(ctx, Kind, o.Name, o.Revision)
		c.Log.Info("entry of an instance that is gone", zap.String("name", o.Name), zap.Error(failed))
		if !errors.Is(failed, hbs.ErrConflict) && !errors.Is(failed, hbs.ErrNotFound) {
			err = errors.CombineErrors(err, failed)
		}
	}
	return err
}
