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

// timed tells when each digest was made and notes the age of those that come.
type timed struct {
	name  string
	reach hbs.Reach
	// bytes is the length of a digest; at least 8.
	bytes int

	mu     sync.Mutex
	oldest time.Duration
	from   map[hbs.InstanceID]bool
}

func (t *timed) Name() string { return t.name }

func (t *timed) Reach() hbs.Reach { return t.reach }

func (t *timed) Digest(budget int) []byte {
	if budget < t.bytes {
		return nil
	}
	return append(binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixNano())), make([]byte, t.bytes-8)...)
}

func (t *timed) Absorb(from hbs.Instance, data []byte) error {
	made := time.Unix(0, int64(binary.BigEndian.Uint64(data)))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oldest = max(t.oldest, time.Since(made))
	t.from[from.ID] = true
	return nil
}

// heard returns from how many instances digests came and the age of the oldest.
func (t *timed) heard() (instances int, oldest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.from), t.oldest
}

// restart forgets what has come.
func (t *timed) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oldest, t.from = 0, map[hbs.InstanceID]bool{}
}

var _ = Describe("relayed digests", func() {
	It("for the fleet are the newest, also when those for the region fill the heartbeats", func() {
		var oldest time.Duration
		inBubble(func(f *fleet) {
			var urgent []*timed
			f.sections = func(*node) (sections []hbs.Section) {
				t := &timed{name: "urgent", reach: hbs.ReachFleet, bytes: 60}
				t.restart()
				urgent, sections = append(urgent, t), append(sections, t)
				for i := range 4 {
					t := &timed{name: fmt.Sprint("timed", i), reach: hbs.ReachRegion, bytes: 60}
					t.restart()
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
			for _, t := range urgent {
				t.restart()
			}
			time.Sleep(30 * time.Second)
			for _, t := range urgent {
				instances, age := t.heard()
				f.g.Expect(instances).To(Equal(len(domains) - 1))
				oldest = max(oldest, age)
			}
			f.g.Expect(oldest).To(BeNumerically("<", 5*time.Second))
		})
		AddReportEntry("oldest digest", oldest)
	})
})
