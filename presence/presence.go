// Package presence counts the instances of a fleet whose instances don't
// communicate with each other, by their entries in the platform's store.
//
// Rules:
//
//  1. An instance has one entry under its own name and rewrites it every
//     refreshInterval, also after a restart.
//  2. An entry that the reader has not seen change for entryTTL of the reader's
//     own clock belongs to an instance that has stopped: it does not count and
//     is deleted, at the revision that was read.
//  3. During an outage of the platform the last count stays valid. After it the
//     TTL of every entry starts anew, since no instance could write.
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

// Kind is the object kind of the entries.
const Kind hbs.ObjectKind = "instances"

const (
	// minPollInterval is the first interval between two polls, short because many
	// instances may start at once; it doubles up to maxPollInterval.
	minPollInterval = time.Second
	maxPollInterval = 20 * time.Second
	// outageTime is the time without a successful read that counts as an outage of
	// the platform.
	outageTime = 2 * maxPollInterval
	// refreshInterval is the time between two writes of an instance's entry.
	refreshInterval = time.Minute
	// entryTTL is the time without a change after which an entry has expired.
	entryTTL = 5 * refreshInterval
)

// Counter counts the instances. Its exported fields must be set before Run.
type Counter struct {
	Platform hbs.Platform
	Self     hbs.InstanceID
	Log      *zap.Logger

	mu    sync.Mutex
	count int
	// known has the other instances that count. It is replaced, never changed.
	known []hbs.InstanceID

	// The fields below are used only by the goroutine of Run.

	// entries has the listed entries by name.
	entries map[string]observation
	// lastRead is when the entries were last read, lastWritten when this instance's
	// entry was.
	lastRead, lastWritten time.Time
}

// observation is the newest revision of an entry and when it was first read.
type observation struct {
	revision  hbs.Revision
	firstRead time.Time
}

// entryValue is the JSON form of an entry's value.
type entryValue struct {
	// Writes increases with each write, so that every write changes the value.
	Writes int64 `json:"writes"`
}

// Count returns the number of instances, this one included, or 0 before the first
// successful read.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Others returns the other instances that count. The caller must not change the slice.
func (c *Counter) Others() []hbs.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// Run refreshes this instance's entry and the count until ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	c.entries = map[string]observation{}
	interval := minPollInterval
	for {
		if err := c.poll(ctx); err != nil && ctx.Err() == nil {
			c.Log.Debug("failed to count instances", zap.Error(err))
		}
		if err := delay.For(ctx, interval/2+rand.N(interval)); err != nil {
			return err
		}
		interval = min(2*interval, maxPollInterval)
	}
}

// poll reads all entries, updates the count, refreshes this instance's entry and
// deletes expired ones.
func (c *Counter) poll(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "count instances") }()
	objs, _, err := c.Platform.List(ctx, Kind)
	if err != nil {
		return err
	}
	c.updateCount(objs, time.Now())
	return errors.CombineErrors(c.writeOwn(ctx, objs), c.deleteExpired(ctx, objs))
}

// updateCount counts the entries that have not expired (rules 2 and 3).
func (c *Counter) updateCount(objs []hbs.Object, now time.Time) {
	listed := map[string]observation{}
	outage := now.Sub(c.lastRead) > outageTime
	c.lastRead = now
	n := 1
	var known []hbs.InstanceID
	for i := range objs {
		o := &objs[i]
		s, ok := c.entries[o.Name]
		if !ok || outage || s.revision != o.Revision {
			s = observation{o.Revision, now}
		}
		listed[o.Name] = s
		if o.Name != string(c.Self) && now.Sub(s.firstRead) < entryTTL {
			n++
			known = append(known, hbs.InstanceID(o.Name))
		}
	}
	c.entries = listed
	c.mu.Lock()
	defer c.mu.Unlock()
	if n != c.count {
		c.Log.Info("instance count changed", zap.Int("from", c.count), zap.Int("to", n))
	}
	c.count, c.known = n, known
}

// writeOwn writes this instance's entry when it is due (rule 1).
func (c *Counter) writeOwn(ctx context.Context, objs []hbs.Object) (err error) {
	if !c.lastWritten.IsZero() && time.Since(c.lastWritten) < refreshInterval {
		return nil
	}
	own := hbs.Object{Kind: Kind, Name: string(c.Self)}
	found := false
	for i := range objs {
		if objs[i].Name == own.Name {
			own, found = objs[i], true
		}
	}
	var e entryValue
	if found {
		// An entry that can't be decoded is overwritten.
		if err := json.Unmarshal(own.Value, &e); err != nil {
			c.Log.Warn("failed to decode this instance's entry", zap.Error(err))
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
		c.lastWritten = time.Now()
	}
	return err
}

// deleteExpired deletes the entries that have expired (rule 2).
func (c *Counter) deleteExpired(ctx context.Context, objs []hbs.Object) (err error) {
	now := time.Now()
	for i := range objs {
		o := &objs[i]
		if o.Name == string(c.Self) || now.Sub(c.entries[o.Name].firstRead) < entryTTL {
			continue
		}
		deleteErr := c.Platform.Delete(ctx, Kind, o.Name, o.Revision)
		c.Log.Info("attempted to delete expired instance entry", zap.String("name", o.Name), zap.Error(deleteErr))
		if !errors.Is(deleteErr, hbs.ErrConflict) && !errors.Is(deleteErr, hbs.ErrNotFound) {
			err = errors.CombineErrors(err, deleteErr)
		}
	}
	return err
}
