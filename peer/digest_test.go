package peer_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/host"
)

// fillSection returns digests as large as allowed and counts those received from
// each instance.
type fillSection struct {
	name  string
	reach hbs.Reach
	// maxBytes bounds one digest.
	maxBytes int

	mu       sync.Mutex
	received map[hbs.InstanceID]int
}

func (s *fillSection) Name() string     { return s.name }
func (s *fillSection) Reach() hbs.Reach { return s.reach }

func (s *fillSection) Digest(budget int) []byte { return make([]byte, min(budget, s.maxBytes)) }

func (s *fillSection) Merge(from hbs.Instance, _ []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received == nil {
		s.received = map[hbs.InstanceID]int{}
	}
	s.received[from.ID]++
	return nil
}

func (s *fillSection) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

func (s *fillSection) ids() []hbs.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.received))
}

func (s *fillSection) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.received)
}

var _ = Describe("digests", func() {
	It("reach the domain or, through representatives, all domains", func() {
		withFleet(func(f *fleet) {
			var domainOnly, fleetWide []*fillSection
			f.sections = func(*node) []hbs.Section {
				domainOnly = append(domainOnly, &fillSection{name: "near", reach: hbs.ReachDomain, maxBytes: 40})
				fleetWide = append(fleetWide, &fillSection{name: "far", reach: hbs.ReachFleet, maxBytes: 40})
				return []hbs.Section{domainOnly[len(domainOnly)-1], fleetWide[len(fleetWide)-1]}
			}
			f.startDefault()
			time.Sleep(20 * time.Second)
			for i, domain := range defaultDomains {
				siblings := 0
				if domain != "d" {
					siblings = 1
				}
				f.g.Expect(domainOnly[i].count()).To(Equal(siblings), "section of the domain at %d", i)
				f.g.Expect(fleetWide[i].count()).To(Equal(6), "section of the fleet at %d", i)
			}
		})
	})

	It("between representatives reach one of each other domain and are not relayed", func() {
		withFleet(func(f *fleet) {
			var between []*fillSection
			f.sections = func(*node) []hbs.Section {
				between = append(between, &fillSection{name: "between", reach: hbs.ReachRepresentatives, maxBytes: 40})
				return []hbs.Section{between[len(between)-1]}
			}
			f.startDefault()
			// Until all instances know each other, one may have another rank.
			time.Sleep(20 * time.Second)
			expectOtherDomains := func() {
				for i, s := range between {
					for _, id := range s.ids() {
						f.g.Expect(f.node(id).directory.Self().Domain).NotTo(Equal(defaultDomains[i]))
					}
				}
			}
			expectOtherDomains()
			for _, s := range between {
				s.reset()
			}
			time.Sleep(20 * time.Second)
			// Both instances of domains a, b and c are representatives. Each sends to
			// the instance of its rank in the other domains; the only instance of d
			// sends to those of the first rank.
			domains := map[hbs.DomainName]int{}
			expectOtherDomains()
			for i, s := range between {
				domains[defaultDomains[i]] += s.count()
			}
			f.g.Expect(domains).To(Equal(map[hbs.DomainName]int{"a": 5, "b": 5, "c": 5, "d": 6}))
		})
	})

	DescribeTable("and heartbeats stay within 11 KiB/s per instance, sent and received (rule 3)", func(instances int) {
		withFleet(func(f *fleet) {
			f.sections = func(*node) []hbs.Section {
				return []hbs.Section{&fillSection{name: "greedy", reach: hbs.ReachDomain, maxBytes: 1 << 20}}
			}
			f.putWorkspace(0)
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
			for range instances {
				f.start("a")
			}
			time.Sleep(10 * time.Second)
			before := peerBytes(f)
			const span = 10
			time.Sleep(span * time.Second)
			perNode := float64(peerBytes(f)-before) / span / float64(instances)
			AddReportEntry(fmt.Sprintf("%d instances, bytes sent and received per second and instance", instances), perNode)
			f.g.Expect(perNode).To(BeNumerically("<", 11264))
		})
	}, Entry("7", 7), Entry("33", 33))
})

func peerBytes(f *fleet) (n int64) {
	for _, node := range f.nodes {
		for p, b := range node.host.Bytes() {
			if p != host.Purpose("platform") {
				n += b
			}
		}
	}
	return n
}
