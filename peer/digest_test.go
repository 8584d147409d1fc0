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

// section fills whatever room it gets and notes who was heard.
type section struct {
	name  string
	reach hbs.Reach
	// most bounds one digest, in bytes.
	most int

	mu    sync.Mutex
	heard map[hbs.InstanceID]int
}

func (s *section) Name() string     { return s.name }
func (s *section) Reach() hbs.Reach { return s.reach }

func (s *section) Digest(budget int) []byte { return make([]byte, min(budget, s.most)) }

func (s *section) Absorb(from hbs.Instance, _ []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = map[hbs.InstanceID]int{}
	}
	s.heard[from.ID]++
	return nil
}

func (s *section) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heard)
}

func (s *section) ids() []hbs.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.heard))
}

func (s *section) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.heard)
}

var _ = Describe("digests", func() {
	It("reach the domain or, through representatives, the fleet", func() {
		inBubble(func(f *fleet) {
			var near, far []*section
			f.sections = func(*node) []hbs.Section {
				near = append(near, &section{name: "near", reach: hbs.ReachDomain, most: 40})
				far = append(far, &section{name: "far", reach: hbs.ReachFleet, most: 40})
				return []hbs.Section{near[len(near)-1], far[len(far)-1]}
			}
			f.startToday()
			time.Sleep(20 * time.Second)
			for i, domain := range today {
				siblings := 0
				if domain != "d" {
					siblings = 1
				}
				f.g.Expect(near[i].count()).To(Equal(siblings), "near at %d", i)
				f.g.Expect(far[i].count()).To(Equal(6), "far at %d", i)
			}
		})
	})

	It("between representatives go to one of each other domain and no further", func() {
		inBubble(func(f *fleet) {
			var between []*section
			f.sections = func(*node) []hbs.Section {
				between = append(between, &section{name: "between", reach: hbs.ReachBetween, most: 40})
				return []hbs.Section{between[len(between)-1]}
			}
			f.startToday()
			// Until all know each other, an instance may stand for another rank.
			time.Sleep(20 * time.Second)
			elsewhere := func() {
				for i, s := range between {
					for _, id := range s.ids() {
						f.g.Expect(f.node(id).directory.Self().Domain).NotTo(Equal(today[i]))
					}
				}
			}
			elsewhere()
			for _, s := range between {
				s.forget()
			}
			time.Sleep(20 * time.Second)
			// Both instances of a domain represent it; each talks to the instance
			// of its rank, and the single one of d talks to those of the first.
			domains := map[hbs.DomainName]int{}
			elsewhere()
			for i, s := range between {
				domains[today[i]] += s.count()
			}
			f.g.Expect(domains).To(Equal(map[hbs.DomainName]int{"a": 5, "b": 5, "c": 5, "d": 6}))
		})
	})

	DescribeTable("and heartbeats stay inside 11 KiB/s for each instance, both ways (rule 3)", func(instances int) {
		inBubble(func(f *fleet) {
			f.sections = func(*node) []hbs.Section {
				return []hbs.Section{&section{name: "greedy", reach: hbs.ReachDomain, most: 1 << 20}}
			}
			f.change(0)
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
