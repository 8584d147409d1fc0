package gateway

import (
	"math"
	"net/netip"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/notification"
	"github.com/hornbeamstage/hornbeamstage/route"
)

// routeState holds the current route table and when it was last confirmed to be
// the newest.
type routeState struct {
	// Suspended returns the total time for which the machine has been
	// suspended. Timers and the monotonic clock don't advance while it is.
	Suspended func() time.Duration

	mu    sync.Mutex
	table *route.Table
	// asOf is when table was last known to be the newest, and suspended the
	// total suspended time then.
	asOf      time.Time
	suspended time.Duration
	// changed is sent when table is replaced.
	changed notification.Signal
}

// adopt replaces the table by t if t is newer (rule 1 of package route), and
// reports whether it did.
func (s *routeState) adopt(t *route.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && t.Version <= s.table.Version {
		return false
	}
	s.table = t
	s.changed.Send()
	return true
}

// tableChanged returns a channel that is closed when the table is replaced.
func (s *routeState) tableChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed.Next()
}

// confirm records that the table was the newest at asOf.
func (s *routeState) confirm(asOf time.Time) {
	total := s.Suspended()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf, s.suspended = asOf, total
}

// current returns the route table, nil before the first one was read.
func (s *routeState) current() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// age returns the time since the table was last known to be the newest,
// including time suspended; the longest time there is if it never was.
func (s *routeState) age() time.Duration {
	total := s.Suspended()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asOf.IsZero() {
		return math.MaxInt64
	}
	return time.Since(s.asOf) + total - s.suspended
}

// service returns a service of the current table, or one with only a name if
// there is none.
func (s *routeState) service(name hbs.ServiceName) route.Service {
	if t := s.current(); t != nil {
		if found := t.Service(name); found != nil {
			return *found
		}
	}
	return route.Service{Name: name}
}

// eventTokens returns the number of tokens in each event of a service's
// streams, at least 1.
func (s *routeState) eventTokens(name hbs.ServiceName) int {
	return max(s.service(name).EventTokens, 1)
}

// transferRate returns how many cached tokens per second a service's engines
// load from each other.
func (s *routeState) transferRate(name hbs.ServiceName) float64 { return s.service(name).TransferRate }

// resumeTimes returns how long after its begin a stream may be resumed, for each service
// with such streams.
func (s *routeState) resumeTimes() map[hbs.ServiceName]time.Duration {
	t := s.current()
	if t == nil {
		return nil
	}
	return t.ResumeTimes()
}

// kvStore returns the KV cache store, nil if there is none.
func (s *routeState) kvStore() *route.KVStore {
	t := s.current()
	if t == nil {
		return nil
	}
	return t.KVStore()
}

// kvStoreAddress returns the address of the KV cache store; it is invalid
// if there is none.
func (s *routeState) kvStoreAddress() (addr netip.AddrPort) {
	if store := s.kvStore(); store != nil {
		return store.Address
	}
	return addr
}
