package peer

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

const (
	// frameOverhead is what one heartbeat adds to the bytes of its connection
	// beside its digests: HTTP/2 and gRPC frames, interval and summaries.
	frameOverhead = 32
	// minDigest is the least room for digests in one heartbeat.
	minDigest = 96
	// intervalJitter is the share of an interval by which beats are spread.
	intervalJitter = 0.1
	// remoteEvery is how many beats pass between two to other domains.
	remoteEvery = 4
)

// beat sends heartbeats (rules 1 and 3) until ctx ends.
func (s *Server) beat(ctx context.Context) error {
	b := beater{Server: s, links: map[netip.AddrPort]*link{}}
	for _, section := range s.Sections {
		if section.Reach() == hbs.ReachBetween {
			b.between = append(b.between, section)
			continue
		}
		b.near = append(b.near, section)
	}
	defer b.wg.Wait()
	defer b.closeAll()
	timer := time.NewTimer(b.jitter(b.tick(ctx)))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(b.jitter(b.tick(ctx)))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beater owns the links and sends one heartbeat over each at every tick.
type beater struct {
	*Server
	links map[netip.AddrPort]*link
	wg    conc.WaitGroup
	ticks int
	// near are the sections that the own domain gets, between those that only
	// representatives exchange.
	near, between []hbs.Section
	// first is the section that is asked first at the next tick, so that none
	// always gets what the others leave.
	first int
}

// target is an instance to send heartbeats to; its ID is empty for a seed that
// has not been heard.
type target struct {
	hbs.Instance
	remote bool
}

// tick sends one round and returns the time until the next.
func (b *beater) tick(ctx context.Context) time.Duration {
	b.ticks++
	targets := b.targets()
	b.connect(ctx, targets)
	near, far := 0, 0
	for _, l := range b.links {
		if l.remote {
			far++
		} else {
			near++
		}
	}
	interval, room := b.plan(near, far)
	b.send(interval, room, far > 0)
	b.Metrics.GetOrRegister(meterAlive, metrics.NewGauge).(metrics.Gauge).Update(int64(len(b.members.alive())))
	return interval
}

// plan returns the interval that keeps all links inside the budget, and the
// room for digests in one heartbeat.
func (b *beater) plan(near, far int) (interval time.Duration, room int) {
	// As much comes in as goes out.
	budget := b.Policy.Number(KnobBudget, hbs.Scope{}) / 2
	interval = b.Policy.Duration(KnobInterval, hbs.Scope{})
	links := float64(near) + float64(far)/remoteEvery
	if links == 0 {
		return interval, minDigest
	}
	least := time.Duration(links * (frameOverhead + minDigest) / budget * float64(time.Second))
	interval = max(interval, least)
	return interval, int(budget*interval.Seconds()/links) - frameOverhead
}

// send offers one round of heartbeats; abroad tells that links to other domains
// are among them. What came by a push went to the whole domain, so the domain is
// told of new summaries at once only after a pull.
func (b *beater) send(interval time.Duration, room int, abroad bool) {
	base := Heartbeat{Interval: interval, Summaries: b.summaries(), Heard: b.members.unlisted(), urgent: true}
	near := base
	near.urgent = b.pulled.Swap(false)
	near.Sections = b.digests(b.near, room)
	near.Relayed = b.relays.drain(&b.relays.inward, room-size(near.Sections))
	var far Heartbeat
	remote := abroad && b.ticks%remoteEvery == 0
	if remote {
		far = base
		far.Heard = nil
		far.Interval = interval * remoteEvery
		far.Sections = b.digests(b.between, room)
		far.Relayed = b.relays.drain(&b.relays.outward, room-size(far.Sections))
	}
	if !b.Chosen() {
		b.relays.discard()
	}
	for _, l := range b.links {
		switch {
		case l.to == "":
			// Whether the seed's instance is of this domain is not known yet.
			l.offer(base)
		case !l.remote:
			l.offer(near)
		case remote:
			l.offer(b.reaching(&far, &near, l))
		}
	}
}

// reaching returns the heartbeat for a link to another domain: only sections
// that reach it.
func (b *beater) reaching(far, near *Heartbeat, l *link) Heartbeat {
	self := b.Self()
	h := *far
	reaches := func(r hbs.Reach) bool {
		return r == hbs.ReachFleet || r == hbs.ReachRegion && l.region == self.Region
	}
	h.Sections, h.Relayed = slices.Clone(far.Sections), nil
	for _, d := range near.Sections {
		if reaches(b.reachOf(d.Name)) {
			h.Sections = append(h.Sections, d)
		}
	}
	for _, r := range far.Relayed {
		if reaches(r.Reach) {
			h.Relayed = append(h.Relayed, r)
		}
	}
	return h
}

// digests asks each section for its share of room; what one leaves goes to
// those after it.
func (b *beater) digests(sections []hbs.Section, room int) (out []SectionData) {
	n := len(sections)
	for i := range n {
		section := sections[(b.first+i)%n]
		share := room / (n - i)
		data := section.Digest(share)
		if len(data) == 0 || len(data) > share {
			continue
		}
		room -= len(data)
		out = append(out, SectionData{section.Name(), data})
	}
	b.first++
	return out
}

func size(ds []SectionData) (n int) {
	for _, d := range ds {
		n += len(d.Data)
	}
	return n
}

// targets returns who gets heartbeats now, by address.
func (b *beater) targets() map[netip.AddrPort]target {
	self := b.Self()
	out := map[netip.AddrPort]target{}
	known := b.members.known()
	domains := map[hbs.DomainName][]hbs.InstanceID{}
	for id, i := range known {
		if i.Domain == self.Domain {
			out[i.PeerAddress] = target{i, false}
			continue
		}
		domains[i.Domain] = append(domains[i.Domain], id)
	}
	rank := b.members.rank()
	if rank < b.representatives() {
		for domain, ids := range domains {
			i := known[b.representative(domain, ids, rank)]
			out[i.PeerAddress] = target{i, true}
		}
	}
	b.addSeeds(out, known)
	return out
}

// representative picks the instance of another domain at the same rank as this
// one, among those that could be reached lately.
func (b *beater) representative(domain hbs.DomainName, ids []hbs.InstanceID, rank int) hbs.InstanceID {
	ranked := mirror.Rank(string(domain), ids)
	good := slices.DeleteFunc(slices.Clone(ranked), func(id hbs.InstanceID) bool { return !b.members.reachable(id) })
	if len(good) == 0 {
		return ranked[b.ticks/remoteEvery%len(ranked)]
	}
	return good[rank%len(good)]
}

// addSeeds adds the seeds that are at no known instance's address.
func (b *beater) addSeeds(out map[netip.AddrPort]target, known map[hbs.InstanceID]hbs.Instance) {
	taken := map[netip.AddrPort]bool{b.Self().PeerAddress: true}
	for _, i := range known {
		taken[i.PeerAddress] = true
	}
	for _, addr := range b.Seeds {
		if !taken[addr] {
			out[addr] = target{}
		}
	}
}

// connect opens links to new targets and closes those to others.
func (b *beater) connect(ctx context.Context, targets map[netip.AddrPort]target) {
	for addr, l := range b.links {
		t, wanted := targets[addr]
		if !wanted || t.remote != l.remote || t.ID != l.to {
			l.close()
			delete(b.links, addr)
		}
	}
	for _, addr := range sortedAddrs(targets) {
		if b.links[addr] == nil {
			b.links[addr] = b.open(ctx, addr, targets[addr])
		}
	}
}

func sortedAddrs(targets map[netip.AddrPort]target) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(targets))
	for addr := range targets {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
	})
	return addrs
}

func (b *beater) closeAll() {
	for _, l := range b.links {
		l.close()
	}
}

func (b *beater) jitter(d time.Duration) time.Duration {
	spread := (2*b.Rand.Float64() - 1) * intervalJitter
	return d + time.Duration(spread*float64(d))
}
