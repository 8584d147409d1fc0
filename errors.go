package hornbeamstage

import "github.com/cockroachdb/errors"

// Errors of a Placer.
var (
	// ErrFull: all usable endpoints are at their limit; waiting may help.
	ErrFull = errors.New("all endpoints are full")
	// ErrNoEndpoint: no usable endpoint is known.
	ErrNoEndpoint = errors.New("no endpoint")
)

// Errors of a Platform.
var (
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object exists or has another revision; nothing changed.
	ErrConflict = errors.New("object conflict")
	// ErrCompacted: the revision to watch or to list from is no longer kept.
	ErrCompacted = errors.New("revision compacted")
	// ErrNotApplied: the platform refused the call (rate limit, no connection,
	// bad request); a write certainly did not take effect.
	ErrNotApplied = errors.New("platform call not applied")
	// ErrUncertain: the call was sent and no answer came; a write may have taken
	// effect now or may take effect later.
	ErrUncertain = errors.New("platform call uncertain")
)
