package release

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

const (
	// switchWait is how long a new stream waits for the next record when its version has
	// no endpoints left.
	switchWait = 500 * time.Millisecond
	// readTimeout bounds the reads for a resumed stream, readDelay is how long they wait
	// for others to join.
	readTimeout = 800 * time.Millisecond
	readDelay   = 20 * time.Millisecond
)

// Keeper implements hornbeamstage.StreamKeeper. Its exported fields must be set before Run.
type Keeper struct {
	Platform  hbs.Platform
	Self      hbs.InstanceID
	Directory hbs.Directory
	// Others returns the other instances; ok is false while they are not known.
	Others func() (ids []hbs.InstanceID, ok bool)
	// ResumeTimes returns how long after its begin a stream may be resumed, for each
	// service with such streams; empty while that isn't known.
	ResumeTimes func() map[hbs.ServiceName]time.Duration
	// ResumeTimesChanged returns a channel that is closed when ResumeTimes changes.
	ResumeTimesChanged func() <-chan struct{}
	// Restores returns how many times the store was restored from a copy.
	Restores func() uint64
	Metrics  metrics.Registry
	Log      *zap.Logger

	once sync.Once
	// reads joins the reads for streams that are resumed at the same time.
	reads singleflight.Group
	store streamStore

	mu sync.Mutex
	// states has the newest records that were read.
	states map[hbs.ServiceName]*state
	// seen is the newest revision of a record that the watch brought.
	seen hbs.Revision
	// streams has the versions of the streams that this instance, also in an earlier
	// lifetime, began, resumed or may begin.
	streams map[hbs.RequestID]stream
	// lossyUntil is when the last stream can be resumed that streams had no room for.
	lossyUntil time.Time
	// roster is the one that slotsIn was counted in.
	roster  *hbs.Roster
	slotsIn map[hbs.ServiceName]versionSlots
	// changed is sent when states changes.
	changed notification.Signal
}

// stream is one stream that may be resumed until a time.
type stream struct {
	version hbs.SoftwareVersion
	until   time.Time
	// ticket is the number of the write that stores the stream; zero if none was asked for.
	ticket uint64
}

func (k *Keeper) init() {
	k.once.Do(func() {
		k.states = map[hbs.ServiceName]*state{}
		k.streams = map[hbs.RequestID]stream{}
		k.store.news = make(chan struct{}, 1)
	})
}

// Version implements hornbeamstage.StreamKeeper.
func (k *Keeper) Version(ctx context.Context, req *hbs.Request) (hbs.SoftwareVersion, error) {
	k.init()
	switch {
	case !req.Resumable || len(k.slots(req.Service)) == 0:
		return "", nil
	case req.Resumes != nil:
		return k.versionOf(ctx, req)
	}
	return k.awaitVersion(ctx, req), nil
}

// Placed implements hornbeamstage.StreamKeeper. The stream is stored with the next record
// that this instance knows, even if it begins only after that.
func (k *Keeper) Placed(req *hbs.Request, v hbs.SoftwareVersion) {
	k.init()
	if isKept(req, v) {
		k.addStream(req, v)
	}
}

// isKept reports whether the version of the stream that req begins or resumes at v has to
// be known later.
func isKept(req *hbs.Request, v hbs.SoftwareVersion) bool {
	return req.Resumable && v != "" && req.StreamID() != ""
}

// slots returns the slots of a service's endpoints. The result must not be changed.
func (k *Keeper) slots(service hbs.ServiceName) versionSlots {
	r := k.Directory.Roster()
	k.mu.Lock()
	defer k.mu.Unlock()
	if r != k.roster {
		k.roster, k.slotsIn = r, slotsByService(r)
	}
	return k.slotsIn[service]
}

// awaitVersion returns the version at which a new stream begins. If that one has no
// endpoints left, it waits for the next record, for a short time.
func (k *Keeper) awaitVersion(ctx context.Context, req *hbs.Request) hbs.SoftwareVersion {
	if v, ok := k.newVersion(req); ok {
		return v
	}
	ctx, cancel := context.WithTimeout(ctx, switchWait)
	defer cancel()
	for {
		rosterChanged, recordChanged := k.Directory.Changed(), k.recordChanged()
		v, ok := k.newVersion(req)
		if ok {
			return v
		}
		select {
		case <-rosterChanged:
		case <-recordChanged:
		case <-ctx.Done():
			return v
		}
	}
}

// newVersion returns the version at which a new stream begins, and whether it has
// endpoints.
func (k *Keeper) newVersion(req *hbs.Request) (v hbs.SoftwareVersion, ok bool) {
	slots := k.slots(req.Service)
	k.mu.Lock()
	defer k.mu.Unlock()
	st := k.states[req.Service]
	if st.phase(k.Restores()) == phaseFree {
		return hbs.AnySoftware, true
	}
	v = st.Shares.of(req)
	return v, slots[v] > 0
}

func (k *Keeper) recordChanged() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed.Next()
}

// versionOf returns the version at which a resumed stream goes on (rule 5).
func (k *Keeper) versionOf(ctx context.Context, req *hbs.Request) (hbs.SoftwareVersion, error) {
	v, source := k.ownStream(req.Resumes.Attempt), sourceOwn
	if v == "" {
		v, source = k.findVersion(ctx, req)
	}
	slots := k.slots(req.Service)
	k.Log.Info("stream resumed", zap.String("request", string(req.ID)), zap.String("resumes", string(req.Resumes.Attempt)), zap.String("after", req.Resumes.After),
		zap.String("service", string(req.Service)), zap.String("version", string(v)), zap.String("source", string(source)), zap.Int("slots", slots[v]))
	k.count(meterResumedPrefix + string(source))
	switch {
	case v == "":
		return "", refuse("it is not known which software began the stream")
	case slots[v] == 0:
		k.count(meterGone)
		return "", refuse("the software that began the stream has left")
	}
	return v, nil
}

// ownStream returns the version of a stream that this instance knows, or "".
func (k *Keeper) ownStream(id hbs.RequestID) hbs.SoftwareVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.streams[id].version
}

// findVersion returns the version of a stream that this instance doesn't know, "" if nothing
// tells.
func (k *Keeper) findVersion(ctx context.Context, req *hbs.Request) (hbs.SoftwareVersion, source) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	id := req.Resumes.Attempt
	found, err := k.readShared(ctx, req.Service)
	switch {
	case err != nil:
		k.Log.Info("record not read for a resumed stream", zap.String("service", string(req.Service)), zap.Error(err))
		return "", sourceNone
	case found.streams[id] != "":
		return found.streams[id], sourceStored
	case found.phase == phaseSettled || found.phase == phaseKnown && id != "":
		return found.shares.settled(req), sourceRecord
	}
	return "", sourceNone
}

// Begun implements hornbeamstage.StreamKeeper.
func (k *Keeper) Begun(ctx context.Context, req *hbs.Request, v hbs.SoftwareVersion) {
	k.init()
	if !isKept(req, v) {
		return
	}
	if ticket := k.addStream(req, v); ticket > 0 {
		k.store.await(ctx, ticket)
	}
}

// addStream adds a stream and returns the number of the write that stores it, 0 if it
// doesn't have to be stored.
func (k *Keeper) addStream(req *hbs.Request, v hbs.SoftwareVersion) (ticket uint64) {
	id, until := req.StreamID(), k.resumableUntil(req.Service)
	k.mu.Lock()
	defer k.mu.Unlock()
	st := k.states[req.Service]
	if !st.phase(k.Restores()).ambiguous() && st.Shares.of(req) == v {
		k.keep(id, stream{version: v, until: until})
		return 0
	}
	if s := k.streams[id]; s.version == v {
		ticket = s.ticket
	}
	if ticket == 0 {
		ticket = k.store.request()
	}
	k.keep(id, stream{v, until, ticket})
	return ticket
}

// resumableUntil returns until when a stream that begins now can be resumed.
func (k *Keeper) resumableUntil(service hbs.ServiceName) time.Time {
	return time.Now().Add(k.ResumeTimes()[service])
}

// keep adds a stream if there is room. The caller holds mu.
func (k *Keeper) keep(id hbs.RequestID, s stream) {
	if len(k.streams) >= maxStreams {
		k.expireStreams(time.Now())
	}
	if len(k.streams) >= maxStreams {
		k.lossyUntil = s.until
		return
	}
	k.streams[id] = s
}

// expireStreams removes the streams that can't be resumed any more. The caller holds mu.
func (k *Keeper) expireStreams(now time.Time) {
	for id, s := range k.streams {
		if now.After(s.until) {
			delete(k.streams, id)
		}
	}
}

func (k *Keeper) count(name string) { metrics.GetOrRegisterCounter(name, k.Metrics).Inc(1) }
