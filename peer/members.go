package peer

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// silentIntervals is how many of its own intervals an instance may be silent.
const silentIntervals = 3

// members knows which instances live, from their heartbeats alone.
type members struct {
	server *Server
	// listed are the records of the platform's list.
	listed *mirror.Records[hbs.Instance]

	mu    sync.Mutex
	heard map[hbs.InstanceID]*member
	// told are instances that another one hears and the platform does not list.
	told map[hbs.InstanceID]hbs.Instance
	// unreachable dates the last failure to send to an address's instance.
	unreachable map[hbs.InstanceID]time.Time
}

type member struct {
	hbs.Instance
	last     time.Time
	interval time.Duration
}

func newMembers(s *Server) *members {
	return &members{
		server:      s,
		listed:      &mirror.Records[hbs.Instance]{Set: s.Objects, Kind: hbs.ObjectInstance, Decode: mirror.DecodeInstance},
		heard:       map[hbs.InstanceID]*member{},
		told:        map[hbs.InstanceID]hbs.Instance{},
		unreachable: map[hbs.InstanceID]time.Time{},
	}
}

// hear takes a heartbeat in. A new incarnation replaces the old record.
func (m *members) hear(from hbs.Instance, h *Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.server.Self()
	if from.ID == self.ID {
		return
	}
	m.heard[from.ID] = &member{from, time.Now(), h.Interval}
	delete(m.told, from.ID)
	delete(m.unreachable, from.ID)
	for _, i := range h.Heard {
		if i.ID != self.ID && i.Domain == self.Domain && m.heard[i.ID] == nil && len(m.told) < maxInstances {
			m.told[i.ID] = i
		}
	}
}

// fail notes that sending to the instance failed.
func (m *members) fail(id hbs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[id] = time.Now()
}

func (m *members) silence() time.Duration {
	return m.server.Policy.Duration(KnobSilence, hbs.Scope{})
}

func (m *members) lives(x *member, now time.Time) bool {
	return now.Sub(x.last) <= max(m.silence(), silentIntervals*x.interval)
}

// alive returns the live instances of all domains, sorted by ID.
func (m *members) alive() []hbs.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := []hbs.Instance{m.server.Self()}
	for _, x := range m.heard {
		if m.lives(x, now) {
			out = append(out, x.Instance)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// rank is this instance's place among the live ones of its domain.
func (m *members) rank() int {
	self := m.server.Self()
	return slices.Index(mirror.Rank(string(self.Domain), m.staying(self.Domain)), self.ID)
}

// relays reports whether this instance passes the digests of another one of its
// domain on to other domains. Representatives send their own there, and each of
// the others has one representative, so that a digest crosses only once.
func (m *members) relays(id hbs.InstanceID, representatives int) bool {
	self := m.server.Self()
	ranked := mirror.Rank(string(self.Domain), m.staying(self.Domain))
	chosen := ranked[:min(representatives, len(ranked))]
	if slices.Contains(chosen, id) {
		return false
	}
	return len(chosen) > 0 && mirror.Rank(string(id), chosen)[0] == self.ID
}

// staying returns the live instances of the domain that do not leave. This
// instance counts even when it leaves, so that the last one still watches.
func (m *members) staying(domain hbs.DomainName) []hbs.InstanceID {
	self := m.server.Self()
	var ids []hbs.InstanceID
	for _, i := range m.alive() {
		if i.Domain == domain && (i.State != hbs.InstanceLeaving || i.ID == self.ID) {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// others returns the other live instances of the domain in the order of their
// rendezvous hash with this one, so that trees of different roots load
// different instances.
func (m *members) others() []hbs.InstanceID {
	self := m.server.Self()
	ids := slices.DeleteFunc(m.staying(self.Domain), func(id hbs.InstanceID) bool { return id == self.ID })
	return mirror.Rank(string(self.ID), ids)
}

// address returns where a live instance takes calls.
func (m *members) address(id hbs.InstanceID) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.heard[id]
	if x == nil {
		return netip.AddrPort{}, false
	}
	return x.PeerAddress, true
}

// unlisted returns the live instances of the own domain that the platform's
// list lacks.
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

// known returns all other instances that may be worth a link, by ID: those of
// the platform's list, those heard and those told of.
func (m *members) known() map[hbs.InstanceID]hbs.Instance {
	out := map[hbs.InstanceID]hbs.Instance{}
	list, _ := m.listed.Read()
	for _, r := range list {
		out[r.Value.ID] = r.Value
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id, i := range m.told {
		out[id] = i
	}
	for id, x := range m.heard {
		if m.lives(x, now) {
			out[id] = x.Instance
		} else if now.Sub(x.last) > forgetAfter {
			delete(m.heard, id)
			delete(m.told, id)
		}
	}
	delete(out, m.server.Self().ID)
	return out
}

// at returns the known instances whose peer address is addr.
func (m *members) at(addr netip.AddrPort) (ids []hbs.InstanceID) {
	for id, i := range m.known() {
		if i.PeerAddress == addr {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// reachable reports whether sending to the instance did not fail lately.
func (m *members) reachable(id hbs.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, failed := m.unreachable[id]
	return !failed || time.Since(at) > suspectFor
}

// heardWithin reports whether the instance was heard in the last d.
func (m *members) heardWithin(id hbs.InstanceID, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.heard[id]
	return x != nil && time.Since(x.last) <= d
}

const (
	// forgetAfter drops the record of an instance that was silent for so long.
	forgetAfter = 10 * time.Minute
	// suspectFor is how long another representative is preferred after a failure.
	suspectFor = 5 * time.Second
)

func byID(a, b hbs.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) }
