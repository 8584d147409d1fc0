package peer

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// timeoutIntervals is how many of its own intervals may pass without a heartbeat
// before an instance is considered dead.
const timeoutIntervals = 3

// members tracks which instances are alive, from their heartbeats alone.
type members struct {
	server *Server
	// listed are the instances that the platform lists.
	listed *mirror.RecordCache[hbs.Instance]

	mu sync.Mutex
	// direct are the instances that sent heartbeats to this one.
	direct map[hbs.InstanceID]*member
	// reported are instances of the domain that another instance receives
	// heartbeats from and the platform does not list. At most maxInstances.
	reported map[hbs.InstanceID]report
	// sendFailures is the time of the last failure to send to an instance, in the
	// last failureWindow.
	sendFailures map[hbs.InstanceID]time.Time
}

// report is the latest record of an instance that another instance reported.
type report struct {
	hbs.Instance
	at time.Time
}

// member is the latest record of an instance that sent heartbeats to this one.
type member struct {
	hbs.Instance
	lastHeartbeat time.Time
	// interval is the one that the last heartbeat announced.
	interval time.Duration
}

func newMembers(s *Server) *members {
	return &members{
		server:       s,
		listed:       &mirror.RecordCache[hbs.Instance]{Set: s.Objects, Kind: hbs.ObjectInstance, Decode: mirror.DecodeInstance},
		direct:       map[hbs.InstanceID]*member{},
		reported:     map[hbs.InstanceID]report{},
		sendFailures: map[hbs.InstanceID]time.Time{},
	}
}

// recordHeartbeat updates the sender's record. A new incarnation of an instance
// replaces the old one.
func (m *members) recordHeartbeat(from hbs.Instance, h *Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.server.Self()
	if from.ID == self.ID {
		return
	}
	now := time.Now()
	m.direct[from.ID] = &member{from, now, h.Interval}
	delete(m.reported, from.ID)
	delete(m.sendFailures, from.ID)
	for _, i := range h.Unlisted {
		_, known := m.reported[i.ID]
		if i.ID != self.ID && i.Domain == self.Domain && m.direct[i.ID] == nil && (known || len(m.reported) < maxInstances) {
			m.reported[i.ID] = report{i, now}
		}
	}
}

// recordSendFailure records that sending to the instance failed now.
func (m *members) recordSendFailure(id hbs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendFailures[id] = time.Now()
}

func (m *members) heartbeatTimeout() time.Duration {
	return m.server.Policy.Duration(KnobTimeout, hbs.Scope{})
}

func (m *members) isAlive(x *member, now time.Time) bool {
	return now.Sub(x.lastHeartbeat) <= max(m.heartbeatTimeout(), timeoutIntervals*x.interval)
}

// alive returns the live instances of all domains, sorted by ID.
func (m *members) alive() []hbs.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := []hbs.Instance{m.server.Self()}
	for _, x := range m.direct {
		if m.isAlive(x, now) {
			out = append(out, x.Instance)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// rank returns this instance's rank among the live instances of its domain, by
// rendezvous hash.
func (m *members) rank() int {
	self := m.server.Self()
	return slices.Index(mirror.Rank(string(self.Domain), m.active(self.Domain)), self.ID)
}

// relaysFor reports whether this instance relays the digests of instance id, of
// its domain, to other domains. n is the number of representatives. These send
// their own digests there; each other instance is assigned one representative, so
// that a digest is relayed only once.
func (m *members) relaysFor(id hbs.InstanceID, n int) bool {
	self := m.server.Self()
	ranked := mirror.Rank(string(self.Domain), m.active(self.Domain))
	representatives := ranked[:min(n, len(ranked))]
	if slices.Contains(representatives, id) {
		return false
	}
	return len(representatives) > 0 && mirror.Rank(string(id), representatives)[0] == self.ID
}

// active returns the live instances of the domain that are not leaving. This
// instance is included even when it is leaving, so that the last instance of a
// domain still watches the platform.
func (m *members) active(domain hbs.DomainName) []hbs.InstanceID {
	self := m.server.Self()
	var ids []hbs.InstanceID
	for _, i := range m.alive() {
		if i.Domain == domain && (i.State != hbs.InstanceLeaving || i.ID == self.ID) {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// activePeers returns the other active instances of the domain, ordered by their
// rendezvous hash with this one, so that trees with different roots put the load
// on different instances.
func (m *members) activePeers() []hbs.InstanceID {
	self := m.server.Self()
	ids := slices.DeleteFunc(m.active(self.Domain), func(id hbs.InstanceID) bool { return id == self.ID })
	return mirror.Rank(string(self.ID), ids)
}

// address returns the peer address of an instance that has sent heartbeats.
func (m *members) address(id hbs.InstanceID) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.direct[id]
	if x == nil {
		return netip.AddrPort{}, false
	}
	return x.PeerAddress, true
}

// unlisted returns the live instances of this domain that the platform does not
// list.
func (m *members) unlisted() []hbs.Instance {
	var out []hbs.Instance
	for _, i := range m.alive() {
		if i.Domain != m.server.Self().Domain {
			continue
		}
		if _, ok := m.server.Objects.Get(hbs.ObjectInstance, string(i.ID)); !ok {
			out = append(out, i)
		}
	}
	return out
}

// known returns all other instances that heartbeats may be sent to, by ID: those
// that the platform lists, live ones and reported ones.
func (m *members) known() map[hbs.InstanceID]hbs.Instance {
	out := map[hbs.InstanceID]hbs.Instance{}
	list, _ := m.listed.Read()
	for _, r := range list {
		out[r.Value.ID] = r.Value
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.removeExpired(now)
	for id, r := range m.reported {
		out[id] = r.Instance
	}
	for id, x := range m.direct {
		if m.isAlive(x, now) {
			out[id] = x.Instance
		}
	}
	delete(out, m.server.Self().ID)
	return out
}

// removeExpired forgets instances that no longer exist. The caller holds mu.
func (m *members) removeExpired(now time.Time) {
	for id, x := range m.direct {
		if !m.isAlive(x, now) && now.Sub(x.lastHeartbeat) > expireAfter {
			delete(m.direct, id)
			delete(m.reported, id)
		}
	}
	maps.DeleteFunc(m.reported, func(_ hbs.InstanceID, r report) bool { return now.Sub(r.at) > expireAfter })
	maps.DeleteFunc(m.sendFailures, func(_ hbs.InstanceID, at time.Time) bool { return now.Sub(at) > failureWindow })
}

// idsAt returns the IDs of the known instances whose peer address is addr.
func (m *members) idsAt(addr netip.AddrPort) (ids []hbs.InstanceID) {
	for id, i := range m.known() {
		if i.PeerAddress == addr {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// reachable reports whether sending to the instance has not failed recently.
func (m *members) reachable(id hbs.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, failed := m.sendFailures[id]
	return !failed || time.Since(at) > failureWindow
}

// heartbeatWithin reports whether the instance sent a heartbeat in the last d.
func (m *members) heartbeatWithin(id hbs.InstanceID, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.direct[id]
	return x != nil && time.Since(x.lastHeartbeat) <= d
}

const (
	// expireAfter is the time without a heartbeat or report after which a record is
	// removed.
	expireAfter = 10 * time.Minute
	// failureWindow is how long other representatives are preferred after a send
	// to an instance failed.
	failureWindow = 5 * time.Second
)

func byID(a, b hbs.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) }
