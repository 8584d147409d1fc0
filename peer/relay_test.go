package peer_test

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// timestampedSection sends the time at which each digest was made, and records the
// maximum age of those received.
type timestampedSection struct {
	name  string
	reach hbs.Reach
	// bytes is the length of a digest, at least 8.
	bytes int

	mu     sync.Mutex
	oldest time.Duration
	from   map[hbs.InstanceID]bool
}

func (t *timestampedSection) Name() string { return t.name }

func (t *timestampedSection) Reach() hbs.Reach { return t.reach }

func (t *timestampedSection) Digest(budget int) []byte {
	if budget < t.bytes {
		return nil
	}
	return append(binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixNano())), make([]byte, t.bytes-8)...)
}

func (t *timestampedSection) Merge(from hbs.Instance, data []byte) error {
	made := time.Unix(0, int64(binary.BigEndian.Uint64(data)))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oldest = max(t.oldest, time.Since(made))
	t.from[from.ID] = true
	return nil
}

// received returns the number of instances whose digests were received and the age
// of the oldest digest.
func (t *timestampedSection) received() (instances int, oldest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.from), t.oldest
}

// reset clears what was received.
func (t *timestampedSection) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oldest, t.from = 0, map[hbs.InstanceID]bool{}
}

var _ = Describe("relayed digests", func() {
	It("for the fleet stay recent, also when those for the region fill the heartbeats", func() {
		var oldest time.Duration
		withFleet(func(f *fleet) {
			var fleetSections []*timestampedSection
			f.sections = func(*node) (sections []hbs.Section) {
				t := &timestampedSection{name: "urgent", reach: hbs.ReachFleet, bytes: 60}
				t.reset()
				fleetSections, sections = append(fleetSections, t), append(sections, t)
				for i := range 4 {
					t := &timestampedSection{name: fmt.Sprint("timed", i), reach: hbs.ReachRegion, bytes: 60}
					t.reset()
					sections = append(sections, t)
				}
				return sections
			}
			domains := []hbs.DomainName{"a", "a", "a", "b", "b", "c", "c"}
			for i := range domains {
				f.seeds = append(f.seeds, peerAddress(i))
			}
			for _, d := range domains {
				f.start(d)
			}
			time.Sleep(20 * time.Second)
			for _, t := range fleetSections {
				t.reset()
			}
			time.Sleep(30 * time.Second)
			for _, t := range fleetSections {
				instances, age := t.received()
				f.g.Expect(instances).To(Equal(len(domains) - 1))
				oldest = max(oldest, age)
			}
			f.g.Expect(oldest).To(BeNumerically("<", 5*time.Second))
		})
		AddReportEntry("oldest digest", oldest)
	})
})
