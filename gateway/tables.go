package gateway

import (
	"net/netip"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/route"
)

// tables holds the table of routes in force and how old that knowledge is.
type tables struct {
	// Suspended returns for how long the machine has been suspended in all.
	// Timers and the monotonic clock stand still meanwhile.
	Suspended func() time.Duration

	mu    sync.Mutex
	table *route.Table
	// asOf is when table was known to be the newest one, suspended the total at
	// that time.
	asOf      time.Time
	suspended time.Duration
}

// adopt puts t in force if it is newer (rule 1 of package route).
func (s *tables) adopt(t *route.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && t.Version <= s.table.Version {
		return false
	}
	s.table = t
	return true
}

// confirm tells that the table in force was the newest one at asOf.
func (s *tables) confirm(asOf time.Time) {
	total := s.Suspended()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf, s.suspended = asOf, total
}

// now returns the table in force, nil before the first.
func (s *tables) now() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// age returns how long ago the table was known to be the newest one.
func (s *tables) age() time.Duration {
	total := s.Suspended()
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.asOf) + total - s.suspended
}

// service returns a service of the table in force, or an empty one.
func (s *tables) service(name hbs.ServiceName) route.Service {
	if t := s.now(); t != nil {
		if found := t.Service(name); found != nil {
			return *found
		}
	}
	return route.Service{Name: name}
}

// eventTokens returns the number of tokens in one event of a service's streams.
func (s *tables) eventTokens(name hbs.ServiceName) int { return max(s.service(name).EventTokens, 1) }

// transferRate returns how many tokens of cache engines of a service load from
// each other in a second.
func (s *tables) transferRate(name hbs.ServiceName) float64 { return s.service(name).TransferRate }

// store returns the store of kept KV cache, nil when there is none.
func (s *tables) store() *route.Store {
	t := s.now()
	if t == nil {
		return nil
	}
	return t.Store()
}

// storeAddress returns the address of the store of kept KV cache; not valid when
// there is none.
func (s *tables) storeAddress() (addr netip.AddrPort) {
	if store := s.store(); store != nil {
		return store.Address
	}
	return addr
}
