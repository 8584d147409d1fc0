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
//  4. A store that was restored from a copy may lack entries. An instance writes its
//     entry again as soon as it misses it, and counts the others that were listed
//     before the restore for rewriteTime more.
//  5. Instances that start together for the first time miss each other in their first
//     listing. Work is divided between the instances only settleTime after it, or at
//     once if it has this instance's entry of before a restart.
package presence

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/notification"
	"github.com/hornbeamstage/hornbeamstage/rendezvous"
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
	// rewriteTime is the time from the first read of a restored store within which
	// instances have written their entries again: one poll of each, and a failed one.
	rewriteTime = 3 * maxPollInterval
	// settleTime is enough for the second listing.
	settleTime = 2 * minPollInterval
	// wakeSpread bounds the time from Wake to the next poll.
	wakeSpread = 2 * time.Second
)

// Counter counts the instances. Its exported fields must be set before Run.
type Counter struct {
	Platform hbs.Platform
	Self     hbs.InstanceID
	Log      *zap.Logger

	once sync.Once
	// wake has an element while a poll was asked for.
	wake chan struct{}

	mu sync.Mutex
	// others has the other instances that count; nil before the first successful read.
	// It is replaced, never changed.
	others []hbs.InstanceID
	// settled is set once work may be divided between the instances (rule 5).
	settled bool
	// changed is sent when others or settled changes.
	changed notification.Signal

	// The fields below are used only by the goroutine of Run.

	// entries has the listed entries by name.
	entries map[string]observation
	// lastRead is when the entries were last read, lastWritten when this instance's
	// entry was.
	lastRead, lastWritten time.Time
	// restores is the number of restores of the store that was read last, restoredAt
	// when it was first read after the last one; zero if it was never restored.
	restores   uint64
	restoredAt time.Time
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
	if c.others == nil {
		return 0
	}
	return 1 + len(c.others)
}

// Others returns the other instances that count; ok is false before the first successful
// read. The caller must not change the slice.
func (c *Counter) Others() (ids []hbs.InstanceID, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.others, c.others != nil
}

// Changed returns a channel that is closed once another result of IsAmongFirst is possible
// than at the time of the call.
func (c *Counter) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed.Next()
}

// IsAmongFirst reports whether this instance is one of the first n in the order of all
// instances for key; false while the instances are not known (rule 5).
func (c *Counter) IsAmongFirst(n int, key string) bool {
	c.mu.Lock()
	others, settled := c.others, c.settled
	c.mu.Unlock()
	return settled && rendezvous.Place(key, c.Self, others) < n
}

func (c *Counter) init() {
	c.once.Do(func() { c.wake = make(chan struct{}, 1) })
}

// Wake makes Run poll soon, at a moment drawn at random, as others may be woken at the
// same time.
func (c *Counter) Wake() {
	c.init()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// wait waits for an interval, or a shorter time if Wake was called.
func (c *Counter) wait(ctx context.Context, interval time.Duration) error {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	case <-c.wake:
	}
	return delay.For(ctx, rand.N(wakeSpread))
}

// Run refreshes this instance's entry and the count until ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	c.init()
	c.entries = map[string]observation{}
	interval := minPollInterval
	for {
		if err := c.poll(ctx); err != nil && ctx.Err() == nil {
			c.Log.Debug("failed to count instances", zap.Error(err))
		}
		if err := c.wait(ctx, interval/2+rand.N(interval)); err != nil {
			return err
		}
		interval = min(2*interval, maxPollInterval)
	}
}

// poll reads all entries, updates the count, refreshes this instance's entry and
// deletes expired ones.
func (c *Counter) poll(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "count instances") }()
	objs, rev, err := c.Platform.List(ctx, Kind)
	if err != nil {
		return err
	}
	c.updateCount(objs, rev.Restores(), time.Now())
	return errors.CombineErrors(c.writeOwn(ctx, objs), c.deleteExpired(ctx, objs))
}

// updateCount counts the entries that have not expired, of a store that was restored so
// many times.
func (c *Counter) updateCount(objs []hbs.Object, restores uint64, now time.Time) {
	outage := now.Sub(c.lastRead) > outageTime
	if !c.lastRead.IsZero() && restores > c.restores {
		c.restoredAt = now
	}
	c.lastRead, c.restores = now, restores
	c.entries = c.observe(objs, outage, now)
	others := []hbs.InstanceID{}
	for name, s := range c.entries {
		if name != string(c.Self) && now.Sub(s.firstRead) < entryTTL {
			others = append(others, hbs.InstanceID(name))
		}
	}
	before := c.Count()
	_, restarted := c.entries[string(c.Self)]
	c.setOthers(others, restarted)
	if n := c.Count(); n != before {
		c.Log.Info("instance count changed", zap.Int("from", before), zap.Int("to", n))
	}
}

// setOthers stores the other instances of a listing. restarted is set if the listing has
// an entry of this instance.
func (c *Counter) setOthers(others []hbs.InstanceID, restarted bool) {
	slices.Sort(others)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.others == nil && !restarted {
		time.AfterFunc(settleTime, c.settle)
	}
	if c.others != nil && slices.Equal(others, c.others) {
		return
	}
	c.others, c.settled = others, c.settled || restarted
	c.changed.Send()
}

// settle lets work be divided between the instances (rule 5).
func (c *Counter) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = true
	c.changed.Send()
}

// observe returns the entries in a listing (rules 2 and 3), with those that a restored
// store may lack (rule 4).
func (c *Counter) observe(objs []hbs.Object, outage bool, now time.Time) map[string]observation {
	listed := map[string]observation{}
	if !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < rewriteTime {
		maps.Copy(listed, c.entries)
	}
	for i := range objs {
		o := &objs[i]
		s, ok := c.entries[o.Name]
		if !ok || outage || s.revision != o.Revision {
			s = observation{o.Revision, now}
		}
		listed[o.Name] = s
	}
	return listed
}

// writeOwn writes this instance's entry when it is due (rule 1) or missing (rule 4).
func (c *Counter) writeOwn(ctx context.Context, objs []hbs.Object) (err error) {
	own := hbs.Object{Kind: Kind, Name: string(c.Self)}
	found := false
	for i := range objs {
		if objs[i].Name == own.Name {
			own, found = objs[i], true
		}
	}
	if found && !c.lastWritten.IsZero() && time.Since(c.lastWritten) < refreshInterval {
		return nil
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
