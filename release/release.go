// Package release keeps each stream that callers may resume at one version of the
// endpoints' software.
//
// Endpoints of several software versions may serve side by side. A stream goes on only at
// the version that began it, which endpoints don't check. A caller that resumes a stream
// names its own earlier attempt, and reaches an instance that doesn't know that attempt, or
// that has been restarted since.
//
// Rules:
//
//  1. A record in the platform's store says, for each service, which versions have a share
//     of the new streams. A hash decides between them, of the parts of the prompt that
//     other requests share or, where there are none, of the ID with which the stream
//     begins. Streams that can't be resumed go anywhere.
//  2. The shares follow the slots of the versions. When a version with a share has no
//     endpoints left, or shares and slots have differed by more than maxSkew for skewTime,
//     the record becomes free: streams begin at any version. Once the slots have stayed as
//     they are for steadyTime, it opens with their shares: streams that began otherwise
//     may still be resumed.
//  3. While a record is free or open, each instance stores the versions of the streams that
//     it has begun, in one object of its own, and before the first event of each further
//     one is passed on. The object also tells which records its instance knows, and whether
//     it may lack streams of an earlier lifetime that can still be resumed.
//  4. An open record becomes known once all instances were seen to know it and to lack no
//     streams: those of earlier shares are stored then, and only the others that don't
//     follow the shares have to be. A known record is settled once the time in which a
//     stream may be resumed has passed; an open one that can't become known once that time
//     has passed since all other instances were seen to know it. Those that don't tell are
//     waited for no longer than maxSilence.
//  5. A resumed stream goes on at the version that is stored for it; without one, at that of
//     its share if the record is known or settled. Else it is refused at once, like one
//     whose version has no endpoints any more. The record is read from the store for this;
//     a stream is refused too if that fails, since this instance may have missed a change.
//  6. A record that is missing, can't be decoded or was written before the store was
//     restored from a copy counts as free.
//  7. An instance keeps what its earlier lifetime stored.
//  8. Any instance may write records. They act one after the other, in rendezvous order, so
//     that usually one of them does.
package release

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// KindRecord is the object kind of the records, each named after its service.
	KindRecord hbs.ObjectKind = "releases"
	// KindStreams is the object kind of the instances' streams, each named after its
	// instance.
	KindStreams hbs.ObjectKind = "streams"
)

const (
	// skewTime is how long shares differ from the slots before they are changed.
	skewTime = 500 * time.Millisecond
	// steadyTime is how long the slots of all versions stay as they are before streams
	// begin by their shares, maxFreeTime bounds the time until that.
	steadyTime  = 2 * time.Second
	maxFreeTime = 20 * time.Second
	// maxSilence is how long an instance is waited for that doesn't tell that it knows a
	// record (rule 4). It is longer than most cuts and pauses.
	maxSilence = 20 * time.Second
	// maxStreams bounds the streams that one instance stores.
	maxStreams = 8192
)

// phase tells which streams began by the shares of a record (rule 4).
type phase string

const (
	// phaseFree: streams begin at any version.
	phaseFree phase = "free"
	// phaseOpen: streams that began otherwise, which may be lost, can be resumed.
	phaseOpen phase = "open"
	// phaseKnown: streams of earlier shares can be resumed, and all are stored.
	phaseKnown phase = "known"
	// phaseSettled: all streams that can be resumed follow the shares.
	phaseSettled phase = "settled"
)

// ambiguous reports whether the shares don't tell the version of a stream that isn't stored.
func (p phase) ambiguous() bool { return p == phaseFree || p == phaseOpen }

// record is the value of an object of KindRecord.
type record struct {
	// Shares has the versions at which new streams begin.
	Shares shares `json:"shares"`
	Phase  phase  `json:"phase"`
	// Restores is how many times the store had been restored when the record was written.
	Restores uint64 `json:"restores"`
}

func (r record) equal(o record) bool {
	return slices.Equal(r.Shares, o.Shares) && r.Phase == o.Phase && r.Restores == o.Restores
}

func decodeRecord(obj *hbs.Object) (r record, err error) {
	defer func() { err = errors.Wrapf(err, "decode record of %q", obj.Name) }()
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return record{}, err
	}
	switch r.Phase {
	case phaseFree, phaseOpen, phaseKnown, phaseSettled:
	default:
		return record{}, errors.Newf("unknown phase %q", r.Phase)
	}
	if err := r.Shares.validate(); err != nil {
		return record{}, err
	}
	return r, nil
}

// instanceStreams is the value of an object of KindStreams.
type instanceStreams struct {
	// Seen is the newest revision of a record that the instance has read.
	Seen hbs.Revision `json:"seen"`
	// Lossy is set while streams that can be resumed may be missing.
	Lossy bool `json:"lossy,omitempty"`
	// Streams has the versions of streams, by the attempt that brought the first event.
	Streams map[hbs.RequestID]hbs.SoftwareVersion `json:"streams,omitempty"`
}

func decodeStreams(obj *hbs.Object) (s instanceStreams, err error) {
	defer func() { err = errors.Wrapf(err, "decode streams of %q", obj.Name) }()
	if err := json.Unmarshal(obj.Value, &s); err != nil {
		return instanceStreams{}, err
	}
	return s, nil
}

// state is what an instance knows of a service's record.
type state struct {
	record
	revision hbs.Revision
	// readAt is when the record was first read.
	readAt time.Time
	// confirmedAt is when all other instances were first seen to know the record (rule
	// 4); zero before that.
	confirmedAt time.Time
}

// phase returns the record's phase for a store that was restored so many times (rule 6).
func (s *state) phase(restores uint64) phase {
	if s == nil || s.Restores != restores {
		return phaseFree
	}
	return s.Phase
}

var _ hbs.StreamKeeper = (*Keeper)(nil)

// refuse returns the refusal of a stream that can't go on.
func refuse(detail string) *hbs.Refusal { return hbs.NotRun(hbs.ReasonNotResumable, detail, 0) }
