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
	// heartbeatOverhead is the approximate size in bytes of a heartbeat without its
	// digests: HTTP/2 and gRPC frames, interval and summaries.
	heartbeatOverhead = 32
	// minDigestBytes is the minimum space for digests in one heartbeat.
	minDigestBytes = 96
	// intervalJitter is the maximum random deviation from the interval, as a
	// fraction of it.
	intervalJitter = 0.1
	// remoteEvery is the interval, in rounds, at which heartbeats are also sent
	// to other domains.
	remoteEvery = 4
)

// sendHeartbeats sends heartbeats (rules 1 and 3) until ctx ends.
func (s *Server) sendHeartbeats(ctx context.Context) error {
	b := broadcaster{Server: s, links: map[netip.AddrPort]*link{}}
	for _, section := range s.Sections {
		if section.Reach() == hbs.ReachRepresentatives {
			b.interDomainSections = append(b.interDomainSections, section)
			continue
		}
		b.domainSections = append(b.domainSections, section)
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

// broadcaster manages the links and sends one heartbeat over each at every tick.
type broadcaster struct {
	*Server
	links map[netip.AddrPort]*link
	wg    conc.WaitGroup
	ticks int
	// domainSections are sent within the domain, interDomainSections only between
	// representatives of different domains.
	domainSections, interDomainSections []hbs.Section
	// firstSection is the index of the section that gets its share of the space
	// first at the next tick. It rotates, because the space that a section leaves
	// unused goes to the sections after it.
	firstSection int
}

// target is an instance to send heartbeats to. ID is empty for a seed address
// whose instance is not known yet.
type target struct {
	hbs.Instance
	remote bool
}

// tick sends one round of heartbeats and returns the time until the next.
func (b *broadcaster) tick(ctx context.Context) time.Duration {
	b.ticks++
	targets := b.targets()
	b.updateLinks(ctx, targets)
	local, remote := 0, 0
	for _, l := range b.links {
		if l.remote {
			remote++
		} else {
			local++
		}
	}
	interval, digestBytes := b.plan(local, remote)
	b.sendRound(interval, digestBytes, remote > 0)
	b.Metrics.GetOrRegister(meterAlive, metrics.NewGauge).(metrics.Gauge).Update(int64(len(b.members.alive())))
	return interval
}

// plan returns the interval that keeps the traffic of all links within the byte
// budget, and the number of bytes for digests in one heartbeat.
func (b *broadcaster) plan(localLinks, remoteLinks int) (interval time.Duration, digestBytes int) {
	// An instance receives about as much as it sends.
	budget := b.Policy.Number(KnobBudget, hbs.Scope{}) / 2
	interval = b.Policy.Duration(KnobInterval, hbs.Scope{})
	links := float64(localLinks) + float64(remoteLinks)/remoteEvery
	if links == 0 {
		return interval, minDigestBytes
	}
	minInterval := time.Duration(links * (heartbeatOverhead + minDigestBytes) / budget * float64(time.Second))
	interval = max(interval, minInterval)
	return interval, int(budget*interval.Seconds()/links) - heartbeatOverhead
}

// sendRound queues one round of heartbeats. hasRemote reports whether there are
// links to other domains. A push has already reached the whole domain, so within
// it changed summaries are sent early only after a pull.
func (b *broadcaster) sendRound(interval time.Duration, digestBytes int, hasRemote bool) {
	base := Heartbeat{Interval: interval, Summaries: b.summaries(), Unlisted: b.members.unlisted(), urgentSummaries: true}
	local := base
	local.urgentSummaries = b.pulled.Swap(false)
	local.Sections = b.digests(b.domainSections, digestBytes)
	local.Relayed = b.relays.drain(&b.relays.toLocal, digestBytes-dataBytes(local.Sections))
	var remote Heartbeat
	sendRemote := hasRemote && b.ticks%remoteEvery == 0
	if sendRemote {
		remote = base
		remote.Unlisted = nil
		remote.Interval = interval * remoteEvery
		remote.Sections = b.digests(b.interDomainSections, digestBytes)
		remote.Relayed = b.relays.drain(&b.relays.toRemote, digestBytes-dataBytes(remote.Sections))
	}
	if !b.IsRepresentative() {
		b.relays.discard()
	}
	for _, l := range b.links {
		switch {
		case l.to == "":
			// The seed's domain is not known yet.
			l.offer(base)
		case !l.remote:
			l.offer(local)
		case sendRemote:
			l.offer(b.remoteHeartbeat(&remote, &local, l))
		}
	}
}

// remoteHeartbeat returns the heartbeat for a link to another domain, with only
// the sections whose reach includes that domain.
func (b *broadcaster) remoteHeartbeat(remote, local *Heartbeat, l *link) Heartbeat {
	self := b.Self()
	h := *remote
	reaches := func(r hbs.Reach) bool {
		return r == hbs.ReachFleet || r == hbs.ReachRegion && l.region == self.Region
	}
	h.Sections, h.Relayed = slices.Clone(remote.Sections), nil
	for _, d := range local.Sections {
		if reaches(b.reachOf(d.Name)) {
			h.Sections = append(h.Sections, d)
		}
	}
	for _, r := range remote.Relayed {
		if reaches(r.Reach) {
			h.Relayed = append(h.Relayed, r)
		}
	}
	return h
}

// digests collects the digests of the sections. Each may use an equal share of
// the budget that is left.
func (b *broadcaster) digests(sections []hbs.Section, budget int) (out []SectionData) {
	n := len(sections)
	for i := range n {
		section := sections[(b.firstSection+i)%n]
		share := budget / (n - i)
		data := section.Digest(share)
		if len(data) == 0 || len(data) > share {
			continue
		}
		budget -= len(data)
		out = append(out, SectionData{section.Name(), data})
	}
	b.firstSection++
	return out
}

func dataBytes(ds []SectionData) (n int) {
	for _, d := range ds {
		n += len(d.Data)
	}
	return n
}

// targets returns the instances to send heartbeats to now, by peer address.
func (b *broadcaster) targets() map[netip.AddrPort]target {
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
	if rank < b.representativeCount() {
		for domain, ids := range domains {
			i := known[b.representative(domain, ids, rank)]
			out[i.PeerAddress] = target{i, true}
		}
	}
	b.addSeeds(out, known)
	return out
}

// representative picks the instance of another domain at the given rank among
// those without a recent send failure. If all failed recently, it tries them in
// turn.
func (b *broadcaster) representative(domain hbs.DomainName, ids []hbs.InstanceID, rank int) hbs.InstanceID {
	ranked := mirror.Rank(string(domain), ids)
	reachable := slices.DeleteFunc(slices.Clone(ranked), func(id hbs.InstanceID) bool { return !b.members.reachable(id) })
	if len(reachable) == 0 {
		return ranked[b.ticks/remoteEvery%len(ranked)]
	}
	return reachable[rank%len(reachable)]
}

// addSeeds adds the seeds whose address belongs to no known instance.
func (b *broadcaster) addSeeds(out map[netip.AddrPort]target, known map[hbs.InstanceID]hbs.Instance) {
	inUse := map[netip.AddrPort]bool{b.Self().PeerAddress: true}
	for _, i := range known {
		inUse[i.PeerAddress] = true
	}
	for _, addr := range b.Seeds {
		if !inUse[addr] {
			out[addr] = target{}
		}
	}
}

// updateLinks opens links to new targets and closes links to former ones.
func (b *broadcaster) updateLinks(ctx context.Context, targets map[netip.AddrPort]target) {
	for addr, l := range b.links {
		t, wanted := targets[addr]
		if !wanted || t.remote != l.remote || t.ID != l.to {
			l.close()
			delete(b.links, addr)
		}
	}
	for _, addr := range sortedAddrs(targets) {
		if b.links[addr] == nil {
			b.links[addr] = b.openLink(ctx, addr, targets[addr])
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

func (b *broadcaster) closeAll() {
	for _, l := range b.links {
		l.close()
	}
}

func (b *broadcaster) jitter(d time.Duration) time.Duration {
	factor := (2*b.Rand.Float64() - 1) * intervalJitter
	return d + time.Duration(factor*float64(d))
}
