package release

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

const (
	// storeInterval is the least time between two writes of this instance's streams.
	storeInterval = 100 * time.Millisecond
	// storeRetry is the delay after a write that failed.
	storeRetry = 300 * time.Millisecond
	// storeWait is how long the first event of a stream is held back until the stream is
	// stored. It may then be refused when a caller resumes it.
	storeWait = 300 * time.Millisecond
)

// streamStore counts the writes of this instance's streams.
type streamStore struct {
	// news has an element while there is something to write.
	news chan struct{}

	mu sync.Mutex
	// requested is the number of the next write, written that of the last one that
	// succeeded.
	requested, written uint64
	// failing is set after a write that failed, until one succeeds.
	failing bool
	// done is sent when written or failing changes.
	done notification.Signal

	// The fields below are used only by the goroutine that writes.

	// object is the stored object; its revision is zero if there is none. loaded is set
	// once it was read.
	object hbs.Object
	loaded bool
	// earlier is the newest record that an earlier lifetime of the instance had told to
	// know, 0 if it told that streams may be missing. earlierUntil is when the last stream
	// of that lifetime can be resumed; zero if there was none.
	earlier      hbs.Revision
	earlierUntil time.Time
}

// request asks for a write and returns its number.
func (s *streamStore) request() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.news <- struct{}{}:
	default:
	}
	return s.requested + 1
}

// begin numbers a write; what was requested before belongs to it.
func (s *streamStore) begin() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested++
	return s.requested
}

// end records the end of a write.
func (s *streamStore) end(n uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil
	if err == nil {
		s.written = n
	}
	s.done.Send()
}

// pending reports whether a write has not succeeded yet and may do so soon, with a channel
// that is closed when that changes.
func (s *streamStore) pending(n uint64) (changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done.Next(), s.written < n && !s.failing
}

// await waits until a write has succeeded, until writes fail, or for storeWait.
func (s *streamStore) await(ctx context.Context, n uint64) {
	timeout := time.NewTimer(storeWait)
	defer timeout.Stop()
	for {
		changed, ok := s.pending(n)
		if !ok {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// storeStreams writes this instance's streams when asked for, until ctx ends.
func (k *Keeper) storeStreams(ctx context.Context) error {
	s := &k.store
	if err := k.awaitResumeTimes(ctx); err != nil {
		return err
	}
	s.request()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.news:
		}
		pause := storeInterval
		n := s.begin()
		err := k.writeStreams(ctx)
		s.end(n, err)
		if err != nil && ctx.Err() == nil {
			k.Log.Warn("streams not stored", zap.Error(err))
			pause = storeRetry
			s.request()
		}
		if err := delay.For(ctx, pause); err != nil {
			return err
		}
	}
}

// awaitResumeTimes waits until it is known for how long streams of an earlier lifetime have
// to be kept.
func (k *Keeper) awaitResumeTimes(ctx context.Context) error {
	for {
		changed := k.ResumeTimesChanged()
		if len(k.ResumeTimes()) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// writeStreams writes this instance's streams and the newest record that it knows.
func (k *Keeper) writeStreams(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "store streams") }()
	s := &k.store
	if !s.loaded {
		if err := k.loadStreams(ctx); err != nil {
			return err
		}
	}
	if s.object.Value, err = json.Marshal(k.instanceStreams()); err != nil {
		return err
	}
	put := k.Platform.Update
	if s.object.Revision == 0 {
		put = k.Platform.Create
	}
	stored, err := put(ctx, s.object)
	if err != nil {
		// The write may have had an effect, or will have one.
		s.loaded = false
		return err
	}
	s.object.Revision = stored.Revision
	k.count(meterWrites)
	return nil
}

// loadStreams reads what this instance has stored, also in an earlier lifetime (rule 7).
func (k *Keeper) loadStreams(ctx context.Context) error {
	s := &k.store
	s.object = hbs.Object{Kind: KindStreams, Name: string(k.Self)}
	found, err := k.Platform.Get(ctx, KindStreams, string(k.Self))
	switch {
	case errors.Is(err, hbs.ErrNotFound):
	case err != nil:
		return err
	default:
		s.object.Revision = found.Revision
		k.keepStreams(&found)
	}
	s.loaded = true
	return nil
}

// keepStreams adds the stored streams of an earlier lifetime.
func (k *Keeper) keepStreams(obj *hbs.Object) {
	stored, err := decodeStreams(obj)
	if err != nil {
		k.Log.Warn("stored streams not read", zap.Error(err))
		return
	}
	until := time.Now().Add(k.longestResumeTime())
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, v := range stored.Streams {
		if _, ok := k.streams[id]; !ok {
			k.keep(id, stream{version: v, until: until})
		}
	}
	if k.store.earlierUntil.IsZero() {
		k.store.earlier, k.store.earlierUntil = stored.Seen, until
		if stored.Lossy {
			k.store.earlier = 0
		}
	}
}

func (k *Keeper) longestResumeTime() (longest time.Duration) {
	for _, d := range k.ResumeTimes() {
		longest = max(longest, d)
	}
	return longest
}

// instanceStreams returns what this instance has to store.
func (k *Keeper) instanceStreams() instanceStreams {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.expireStreams(now)
	s := instanceStreams{Seen: k.seen, Streams: map[hbs.RequestID]hbs.SoftwareVersion{}}
	s.Lossy = now.Before(k.lossyUntil) || k.seen > k.store.earlier && now.Before(k.store.earlierUntil)
	for id, st := range k.streams {
		s.Streams[id] = st.version
	}
	return s
}

// found is what the store tells about the streams of a service.
type found struct {
	shares shares
	phase  phase
	// streams has the versions of the streams that are stored; empty for a settled record.
	streams map[hbs.RequestID]hbs.SoftwareVersion
}

// readShared is read, done once for all streams that are resumed at the same time. A read
// that has begun tells nothing of a stream that breaks only after that.
func (k *Keeper) readShared(ctx context.Context, service hbs.ServiceName) (found, error) {
	result := k.reads.DoChan(string(service), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		if err := delay.For(ctx, readDelay); err != nil {
			return found{}, err
		}
		k.reads.Forget(string(service))
		return k.read(ctx, service)
	})
	select {
	case r := <-result:
		return r.Val.(found), r.Err
	case <-ctx.Done():
		return found{}, ctx.Err()
	}
}

// read reads the record of a service and, if it is open, the streams of all instances.
func (k *Keeper) read(ctx context.Context, service hbs.ServiceName) (f found, err error) {
	defer func() { err = errors.Wrapf(err, "read the streams of %s", service) }()
	obj, err := k.Platform.Get(ctx, KindRecord, string(service))
	if err != nil && !errors.Is(err, hbs.ErrNotFound) {
		return found{}, err
	}
	f.phase = phaseFree
	if err == nil {
		if r, err := decodeRecord(&obj); err == nil && r.Restores == obj.Revision.Restores() {
			f.shares, f.phase = r.Shares, r.Phase
		}
	}
	if f.phase == phaseSettled {
		return f, nil
	}
	objs, _, err := k.Platform.List(ctx, KindStreams)
	if err != nil {
		return found{}, err
	}
	f.streams = map[hbs.RequestID]hbs.SoftwareVersion{}
	for i := range objs {
		s, err := decodeStreams(&objs[i])
		if err != nil {
			k.Log.Warn("stored streams not read", zap.Error(err))
			continue
		}
		for id, v := range s.Streams {
			f.streams[id] = v
		}
	}
	return f, nil
}
