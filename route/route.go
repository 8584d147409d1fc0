// Package route holds the routes, services and workspaces that operators publish as
// one versioned table, and looks up those that apply to a request.
//
// Rules:
//
//  1. A table is immutable and replaced as a whole. An older version never replaces
//     a newer one.
//  2. A request takes, among the routes of its host whose prefix matches the
//     beginning of the path, the one with the longest prefix.
//  3. A route that is not public requires a key if the table defines workspaces.
//  4. The service of a split route is chosen by weight from a hash of the request's
//     ID, so that every instance chooses the same one.
package route

import (
	"cmp"
	"crypto/sha256"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Version is the version of a table. It increases with each change, not necessarily
// by one.
type Version int64

// Route describes how requests for one host and path prefix are routed.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Class  hbs.RouteClass
	// Stream is set if responses are streams of server-sent events.
	Stream bool
	// Resumable streams can be continued on another endpoint after the last event
	// received.
	Resumable bool
	// Public routes require no key.
	Public bool
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// Timeout bounds the time that a request may take; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective of a response, or of the first event of a
	// stream; 0 means none.
	Objective time.Duration
	// EventTimeout is how long a caller waits for the next event of a stream
	// before it gives up.
	EventTimeout time.Duration
	// Attempts is the maximum number of endpoints that one request is sent to; at
	// least 1.
	Attempts int
	// Split lists the services among which requests are divided by weight. It is not
	// empty and all weights are positive.
	Split []WeightedService
}

// WeightedService is a service of a route and its weight.
type WeightedService struct {
	Service hbs.ServiceName
	Weight  int
}

// Service is a pool of endpoints.
type Service struct {
	Name hbs.ServiceName
	// Connections is the number of connections that one endpoint accepts from all
	// instances together; 0 if unknown.
	Connections int
	// CacheTokens is the size of an engine's KV cache, in tokens; 0 for a service that
	// is not a pool of engines.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream; 0 if unknown.
	EventTokens int
	// TransferRate is the number of KV cache tokens per second that an engine can load
	// from another engine; 0 if it can't.
	TransferRate float64
	// KVStore is set if the service is a KV cache store.
	KVStore *KVStore
}

// KVStore is a KV cache store that engines load from and save to.
type KVStore struct {
	Address netip.AddrPort
	Domain  hbs.DomainName
	// Tokens is the capacity in tokens.
	Tokens int
}

// Workspace is a customer.
type Workspace struct {
	ID hbs.WorkspaceID
	// Priority overrides Route.Priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached prefixes with other workspaces.
	Isolated bool
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	// HeaderBytes and BodyBytes are positive.
	HeaderBytes, BodyBytes int64
	// HeaderWait bounds the time to receive a request's header, IdleWait the time
	// between two requests on a connection.
	HeaderWait, IdleWait time.Duration
}

// Table is one version of the routes, services, limits and workspaces that operators
// publish.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKey is set if routes that are not public require a workspace's key.
	RequiresKey bool

	hosts map[string][]*Route
	// resumeTimes is the result of ResumeTimes.
	resumeTimes map[hbs.ServiceName]time.Duration
	services    map[hbs.ServiceName]*Service
	// store is the first KV cache store in Services, or nil.
	store *KVStore
	// keys is indexed by the hash of a key, so that the time of a lookup does not depend
	// on the key.
	keys map[[sha256.Size]byte]*Workspace
}

// AddKey adds a key of w. It must be called before the table is in use.
func (t *Table) AddKey(key string, w *Workspace) {
	if t.keys == nil {
		t.keys = map[[sha256.Size]byte]*Workspace{}
	}
	t.keys[sha256.Sum256([]byte(key))] = w
}

// Index validates the routes and builds the indexes for lookups. It is called once,
// after Routes and Services are complete.
func (t *Table) Index() (err error) {
	defer func() { err = errors.Wrapf(err, "route table %d", t.Version) }()
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		host := normalizeHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	t.indexResumeTimes()
	t.services = map[hbs.ServiceName]*Service{}
	for i := range t.Services {
		s := &t.Services[i]
		t.services[s.Name] = s
		if t.store == nil {
			t.store = s.KVStore
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

const (
	// resumeMargin is added to a route's timeout: callers may take a moment to resume a
	// stream.
	resumeMargin = 2 * time.Second
	// defaultResumeTime applies to services whose routes have no timeout.
	defaultResumeTime = 30 * time.Second
)

func (t *Table) indexResumeTimes() {
	t.resumeTimes = map[hbs.ServiceName]time.Duration{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.Stream || !r.Resumable {
			continue
		}
		for _, s := range r.Split {
			t.resumeTimes[s.Service] = max(t.resumeTimes[s.Service], r.Timeout)
		}
	}
	for name, timeout := range t.resumeTimes {
		t.resumeTimes[name] = cmp.Or(timeout, defaultResumeTime-resumeMargin) + resumeMargin
	}
}

// ResumeTimes returns how long after its begin a stream may be resumed, for each service
// with such streams. It must not be changed.
func (t *Table) ResumeTimes() map[hbs.ServiceName]time.Duration { return t.resumeTimes }

func (r *Route) validate() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Attempts < 1:
		return errors.Newf("%d attempts, want at least 1", r.Attempts)
	case len(r.Split) == 0:
		return errors.New("split is empty, want at least one service")
	}
	for _, s := range r.Split {
		if s.Weight <= 0 {
			return errors.Newf("weight %d of service %q is not positive", s.Weight, s.Service)
		}
	}
	return nil
}

// normalizeHost lower-cases host and removes the port and the brackets of an IPv6
// address.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.Trim(host, "[]"))
}

// Match returns the route for host and path, or nil (rule 2).
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.keys[sha256.Sum256([]byte(key))]
}

// Service returns the service called name, or nil.
func (t *Table) Service(name hbs.ServiceName) *Service { return t.services[name] }

// KVStore returns the first KV cache store of the table, or nil.
func (t *Table) KVStore() *KVStore { return t.store }

// ChooseService returns the service for a request, chosen by weight among those
// that are usable (rule 4). If none is usable, it returns the first service of
// the split.
func (r *Route) ChooseService(id hbs.RequestID, usable func(hbs.ServiceName) bool) hbs.ServiceName {
	total := 0
	for _, s := range r.Split {
		if usable(s.Service) {
			total += s.Weight
		}
	}
	if total == 0 {
		return r.Split[0].Service
	}
	remaining := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Split {
		if !usable(s.Service) {
			continue
		}
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}
