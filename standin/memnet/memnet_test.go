package memnet_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamstage/hornbeamstage/standin/host"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

var suite *testing.T

func TestMemnet(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "memnet")
}

const delay = time.Millisecond

var addr = netip.MustParseAddrPort("10.0.0.1:80")

// connected returns both ends of a connection from domain a to domain b.
func connected(g *WithT, f *memnet.Fabric, b *host.Host) (near, far net.Conn) {
	l, err := b.Listen(addr)
	g.Expect(err).NotTo(HaveOccurred())
	var wg conc.WaitGroup
	wg.Go(func() { far, err = l.Accept() })
	near, dialErr := f.Network("a").Dial(context.Background(), addr)
	wg.Wait()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dialErr).NotTo(HaveOccurred())
	return near, far
}

var _ = Describe("Fabric", func() {
	It("delays bytes between domains", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			f := &memnet.Fabric{Delay: delay}
			near, far := connected(g, f, &host.Host{Network: f.Network("b")})
			start := time.Now()
			_, _ = near.Write([]byte("ping"))
			near.Close()
			b, err := io.ReadAll(far)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(b)).To(Equal("ping"))
			g.Expect(time.Since(start)).To(Equal(delay))
		})
	})

	It("delays bytes and times out dials across a partition", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			f := &memnet.Fabric{Delay: delay}
			near, far := connected(g, f, &host.Host{Network: f.Network("b")})
			f.Partition("b", "a")
			_, _ = near.Write([]byte("ping"))
			_, err := f.Network("a").Dial(context.Background(), addr)
			g.Expect(err).To(MatchError(ContainSubstring("timeout")))
			g.Expect(far.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			_, err = far.Read(make([]byte, 9))
			g.Expect(err).To(MatchError(ContainSubstring("timeout")))
			f.Heal("a", "b")
			g.Expect(far.SetReadDeadline(time.Time{})).To(Succeed())
			n, err := far.Read(make([]byte, 9))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(Equal(4))
		})
	})

	It("delays the bytes of a held process, which others can still connect to", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			f := &memnet.Fabric{Delay: delay}
			near, far := connected(g, f, &host.Host{Network: f.Process("b", "p")})
			f.Hold("p")
			for _, c := range []net.Conn{near, far} {
				_, _ = c.Write([]byte("ping"))
			}
			for _, c := range []net.Conn{near, far} {
				g.Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
				_, err := c.Read(make([]byte, 9))
				g.Expect(err).To(MatchError(ContainSubstring("timeout")))
				g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
			}
			_, err := f.Network("a").Dial(context.Background(), addr)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = f.Process("b", "p").Dial(context.Background(), addr)
			g.Expect(err).To(MatchError(ContainSubstring("timeout")))
			f.Release("p")
			for _, c := range []net.Conn{near, far} {
				n, err := c.Read(make([]byte, 9))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(Equal(4))
			}
		})
	})

	It("reports the close of the other end to a writer only after the link is open again", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			f := &memnet.Fabric{Delay: delay}
			near, far := connected(g, f, &host.Host{Network: f.Process("b", "p")})
			f.Hold("p")
			_, err := far.Write([]byte("bye"))
			g.Expect(err).NotTo(HaveOccurred())
			far.Close()
			time.Sleep(time.Second)
			_, err = near.Write([]byte("ping"))
			g.Expect(err).NotTo(HaveOccurred())
			f.Release("p")
			b, err := io.ReadAll(near)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(b)).To(Equal("bye"))
			_, err = near.Write([]byte("ping"))
			g.Expect(err).To(MatchError(syscall.EPIPE))
		})
	})

	It("resets the connections of a killed host and refuses new ones", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			f := &memnet.Fabric{}
			h := &host.Host{Network: f.Network("b")}
			near, _ := connected(g, f, h)
			h.Kill()
			_, err := near.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(ContainSubstring("reset")))
			_, err = f.Network("a").Dial(context.Background(), addr)
			g.Expect(err).To(MatchError(ContainSubstring("refused")))
			_, err = h.Listen(addr)
			g.Expect(err).To(HaveOccurred())
		})
	})
})
