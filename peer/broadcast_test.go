package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/peer"
)

// The parameters of the simulation that compares ways to spread an update.
const (
	hopDelay    = time.Millisecond
	sendTime    = 100 * time.Microsecond // a sender's time for one message
	ackTimeout  = 400 * time.Millisecond
	frameBytes  = 160
	ackBytes    = 120
	changeBytes = 1024
	gossipRound = 100 * time.Millisecond
	gossipPeers = 3
	fanout      = 3
)

// domainModel simulates a domain of instances that spread one update.
type domainModel struct {
	ids    []hbs.InstanceID
	failed map[hbs.InstanceID]bool
	update []mirror.Update

	mu         sync.Mutex
	receivedAt map[hbs.InstanceID]time.Duration
	bytes      map[hbs.InstanceID]int
	senders    map[hbs.InstanceID]chan struct{}
	start      time.Time
	wg         conc.WaitGroup
}

func newDomainModel(n, failed int) *domainModel {
	m := &domainModel{failed: map[hbs.InstanceID]bool{}, receivedAt: map[hbs.InstanceID]time.Duration{},
		bytes: map[hbs.InstanceID]int{}, senders: map[hbs.InstanceID]chan struct{}{}, start: time.Now(),
		update: []mirror.Update{{Kind: hbs.ObjectConfiguration, Name: "x", Revision: 1, Value: make([]byte, changeBytes)}}}
	for i := range n {
		id := hbs.InstanceID(fmt.Sprintf("i-%02d", i))
		m.ids = append(m.ids, id)
		m.senders[id] = make(chan struct{}, 1)
	}
	// The first instances after the root fail, the worst case for the tree.
	for _, id := range m.ids[1 : 1+failed] {
		m.failed[id] = true
	}
	return m
}

// send simulates one message; a failed receiver does not acknowledge it.
func (m *domainModel) send(from, to hbs.InstanceID, extraBytes int) error {
	m.senders[from] <- struct{}{}
	time.Sleep(sendTime)
	<-m.senders[from]
	m.mu.Lock()
	m.bytes[from] += frameBytes + changeBytes + extraBytes
	m.mu.Unlock()
	if m.failed[to] {
		time.Sleep(ackTimeout)
		return errors.New("no acknowledgement")
	}
	time.Sleep(hopDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes[to] += ackBytes
	return nil
}

// markReceived records that id received the update and reports whether it was the
// first time.
func (m *domainModel) markReceived(id hbs.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, had := m.receivedAt[id]; had {
		return false
	}
	m.receivedAt[id] = time.Since(m.start)
	return true
}

// tree spreads the update with peer.Tree; with a fan-out of the whole domain it
// is a flat push.
func (m *domainModel) tree(ctx context.Context, self hbs.InstanceID, group []hbs.InstanceID, width int) {
	m.markReceived(self)
	t := peer.Tree{Fanout: width, Send: func(_ context.Context, to hbs.InstanceID, p *peer.Push) error {
		if err := m.send(self, to, 6*len(p.Group)); err != nil {
			return err
		}
		m.wg.Go(func() { m.tree(ctx, to, p.Group, width) })
		return nil
	}}
	t.Broadcast(ctx, m.update, group)
}

// gossip sends the update to random instances in each of the rounds after it was
// first received.
func (m *domainModel) gossip(self hbs.InstanceID, rounds int, seed uint64) {
	if !m.markReceived(self) {
		return
	}
	rng := rand.New(rand.NewPCG(seed, uint64(len(self))+uint64(self[len(self)-1])*31+uint64(self[len(self)-2])))
	for range rounds {
		for range gossipPeers {
			to := m.ids[rng.IntN(len(m.ids))]
			if to != self {
				m.wg.Go(func() {
					if m.send(self, to, 0) == nil {
						m.gossip(to, rounds, seed)
					}
				})
			}
		}
		time.Sleep(gossipRound)
	}
}

// spreadResult is the cost of one way to spread the update.
type spreadResult struct {
	missed         int
	last           time.Duration
	total, busiest int
}

func (m *domainModel) result() (r spreadResult) {
	for _, id := range m.ids {
		at, ok := m.receivedAt[id]
		if !ok && !m.failed[id] {
			r.missed++
		}
		r.last = max(r.last, at)
		r.total += m.bytes[id]
		r.busiest = max(r.busiest, m.bytes[id])
	}
	return r
}

var _ = Describe("ways to spread an update", func() {
	DescribeTable("compared", func(n, failed int) {
		results := map[string]spreadResult{}
		run := func(name string, spread func(m *domainModel)) {
			synctest.Test(suite, func(*testing.T) {
				m := newDomainModel(n, failed)
				spread(m)
				m.wg.Wait()
				results[name] = m.result()
			})
			r := results[name]
			AddReportEntry(fmt.Sprintf("%d instances, %d failed, %-6s missed %d, last after %v, %d bytes in all, busiest sender %d",
				n, failed, name, r.missed, r.last, r.total, r.busiest))
		}
		ctx := context.Background()
		run("flat", func(m *domainModel) { m.tree(ctx, m.ids[0], m.ids[1:], n) })
		run("tree", func(m *domainModel) { m.tree(ctx, m.ids[0], m.ids[1:], fanout) })
		run("gossip", func(m *domainModel) { m.gossip(m.ids[0], 3, 1) })
		Expect(results["tree"].missed).To(BeZero())
		Expect(results["tree"].last).To(BeNumerically("<", 3*time.Second))
		if n > 2*fanout {
			Expect(results["tree"].busiest).To(BeNumerically("<", results["flat"].busiest))
		}
	},
		Entry("7", 7, 0), Entry("7, one failed", 7, 1), Entry("7, two failed", 7, 2),
		Entry("33", 33, 0), Entry("33, one failed", 33, 1), Entry("33, three failed", 33, 3),
	)
})
