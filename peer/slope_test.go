package peer_test

import (
	"flag"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

var slopes = flag.Bool("slopes", false, "measure bytes and processor time by the size of the domain")

// TestSlopes measures the figures in docs/measurements/nodes.md on how bytes and
// CPU time grow with the size of the domain. It checks nothing; the byte budget is
// checked by a spec in digest_test.go.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("a measurement; give -slopes")
	}
	for _, n := range []int{7, 14, 28, 56} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(NewWithT(t))
			defer f.close()
			f.sections = func(*node) []hbs.Section {
				return []hbs.Section{&fillSection{name: "greedy", reach: hbs.ReachDomain, maxBytes: 1 << 20}}
			}
			f.putWorkspace(0)
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
			for range n {
				f.start("a")
			}
			time.Sleep(10 * time.Second)
			bytes, cpu := peerBytes(f), cpuTime(t)
			const span = 20
			for k := range span / 2 {
				value := make([]byte, 1024)
				f.nodes[0].server.Broadcast(f.nodes[0].objects.Adopt([]mirror.Update{
					{Kind: hbs.ObjectConfiguration, Name: "x", Revision: hbs.Revision(1_000_000 + k), Value: value}}))
				time.Sleep(2 * time.Second)
			}
			perNode := float64(peerBytes(f)-bytes) / span / float64(n)
			ms := (cpuTime(t) - cpu).Seconds() * 1000 / span / float64(n)
			t.Logf("%d instances: %.0f bytes sent and received and %.2f ms of processor time per second and instance", n, perNode, ms)
		})
	}
}

func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
