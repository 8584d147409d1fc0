package hornbeamstage

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by a Placer.
var (
	// ErrFull means that all usable endpoints are at their limit. Waiting may
	// help.
	ErrFull = errors.New("all endpoints are full")
	// ErrNoEndpoint means that no usable endpoint is known.
	ErrNoEndpoint = errors.New("no endpoint")
)

// Errors returned by a Platform.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object already exists or has another revision than
	// expected. The call changed nothing.
	ErrConflict = errors.New("object conflict")
	// ErrCompacted means that the platform no longer stores the revision to watch
	// or list from.
	ErrCompacted = errors.New("revision compacted")
	// ErrNotApplied means that the call failed without effect, for example because
	// of a rate limit, a failed connection or a bad request. A write did not and
	// will not take effect.
	ErrNotApplied = errors.New("platform call not applied")
	// ErrUncertain means that the call was sent but no usable response arrived. A
	// write may have taken effect or may still take effect later.
	ErrUncertain = errors.New("platform call uncertain")
)

// ClosedError is the ErrNoEndpoint of a Placer whose usable endpoints want no requests for
// some time.
type ClosedError struct {
	// Opens is when the first of them may be sent requests again.
	Opens time.Time
}

// Error implements error.
func (e *ClosedError) Error() string { return "all endpoints want no requests for now" }

// Unwrap returns ErrNoEndpoint.
func (e *ClosedError) Unwrap() error { return ErrNoEndpoint }
