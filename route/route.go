// Package route holds the routes, workspaces and services that an operator
// publishes as one versioned table, and finds what applies to a request.
//
// Rules:
//
//  1. A table is immutable and replaced as a whole. A newer version never gives
//     way to an older one.
//  2. The route of a request is the one of its host whose prefix is the longest
//     that begins the path.
//  3. A route that is not public needs a key when the table names workspaces.
//  4. The service of a split route is drawn by weight from a hash of the
//     request's id, so that every instance draws the same one.
package route

import (
	"crypto/sha256"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Version numbers a table. It grows with each change, in uneven steps.
type Version int64

// Route says where requests of one host and path prefix go and how.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Class  hbs.RouteClass
	// Stream tells that answers are streams of events.
	Stream bool
	// Resumable streams can go on at another endpoint after their last event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Timeout is the longest time that a caller is kept waiting; 0 is none.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time; 0 is none.
	Objective time.Duration
	// Patience is how long callers wait for an event of a stream.
	Patience time.Duration
	// Attempts is the number of endpoints that one request may be sent to; at
	// least 1.
	Attempts int
	// Split has the services by weight; not empty, all weights positive.
	Split []Share
}

// Share is one service of a route.
type Share struct {
	Service hbs.ServiceName
	Weight  int
}

// Service is a pool of endpoints.
type Service struct {
	Name hbs.ServiceName
	// Connections is the number of connections that one endpoint accepts from all
	// instances together; 0 when not told.
	Connections int
	// CacheTokens is the size of an engine's memory for prompts; 0 for a service
	// that is not a pool of engines.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream; 0 when not told.
	EventTokens int
	// TransferRate is how many tokens of cache an engine loads from another one in a
	// second; 0 when they can't.
	TransferRate float64
	// Store is set for the store of kept KV cache.
	Store *Store
}

// Store is a store of kept KV cache that engines load from and save to.
type Store struct {
	Address netip.AddrPort
	Domain  hbs.DomainName
	// Tokens is its size.
	Tokens int
}

// Workspace is one customer.
type Workspace struct {
	ID hbs.WorkspaceID
	// Rank replaces the rank of routes when Ranked is set.
	Rank   int
	Ranked bool
	// Isolated workspaces share no cached prefix with any other.
	Isolated bool
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are positive.
	HeaderBytes, BodyBytes int64
	// HeaderWait and IdleWait are the longest time for a header and between two
	// requests of one connection.
	HeaderWait, IdleWait time.Duration
}

// Table is one version of everything that operators publish.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed tells that requests need a key of a workspace.
	Keyed bool

	hosts    map[string][]*Route
	services map[hbs.ServiceName]*Service
	// store is the first store of kept KV cache, nil without one.
	store *Store
	// keys are hashed, so that a lookup takes the same time whatever the key.
	keys map[[sha256.Size]byte]*Workspace
}

// AddKey makes key one of w's. It is called before the table is used.
func (t *Table) AddKey(key string, w *Workspace) {
	if t.keys == nil {
		t.keys = map[[sha256.Size]byte]*Workspace{}
	}
	t.keys[sha256.Sum256([]byte(key))] = w
}

// Index checks the table and prepares it for lookups. It is called once, after
// Routes and Services are complete.
func (t *Table) Index() (err error) {
	defer func() { err = errors.Wrapf(err, "route table %d", t.Version) }()
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		host := normalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	t.services = map[hbs.ServiceName]*Service{}
	for i := range t.Services {
		s := &t.Services[i]
		t.services[s.Name] = s
		if t.store == nil {
			t.store = s.Store
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

func (r *Route) check() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Attempts < 1:
		return errors.Newf("%d attempts, want at least 1", r.Attempts)
	case len(r.Split) == 0:
		return errors.New("no service")
	}
	return nil
}

// normalHost lowers the case and cuts the port off.
func normalHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// Match returns the route of a request, or nil (rule 2).
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds key, or nil.
func (t *Table) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.keys[sha256.Sum256([]byte(key))]
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name hbs.ServiceName) *Service { return t.services[name] }

// Store returns the first store of kept KV cache, or nil.
func (t *Table) Store() *Store { return t.store }

// Choose draws the service of a request among those that usable allows, or
// among all when it allows none (rule 4).
func (r *Route) Choose(id hbs.RequestID, usable func(hbs.ServiceName) bool) hbs.ServiceName {
	total := 0
	for _, s := range r.Split {
		if usable(s.Service) {
			total += s.Weight
		}
	}
	if total == 0 {
		return r.Split[0].Service
	}
	left := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Split {
		if !usable(s.Service) {
			continue
		}
		if left -= s.Weight; left < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}
