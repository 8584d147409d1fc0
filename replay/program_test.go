package replay_test

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamstage/hornbeamstage/replay"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

// asInstance is the environment variable that makes the test program run as an
// instance.
const asInstance = "REPLAY_TEST_INSTANCE"

func TestMain(m *testing.M) {
	if os.Getenv(asInstance) != "" {
		os.Exit(instanceMain())
	}
	os.Exit(m.Run())
}

// instanceMain reads its settings file and then waits for SIGTERM.
func instanceMain() (code int) {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM)
	if _, err := settings.Read(os.Args[2]); err != nil {
		return 2
	}
	os.Stdout.WriteString("up\n")
	<-stops
	return 0
}

var _ = Describe("Program", func() {
	// start runs the test program as an instance and waits for its first output.
	start := func(ctx context.Context) (node replay.Node, ended chan error) {
		GinkgoT().Setenv(asInstance, "1")
		path, err := os.Executable()
		Expect(err).NotTo(HaveOccurred())
		up, output, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(up.Close)
		DeferCleanup(output.Close)
		s := settings.Defaults()
		s.Instance.ID, s.Instance.Domain, s.Instance.Region = "i1", "a", "r"
		s.Listen.Callers = netip.MustParseAddrPort("127.0.0.1:8080")
		s.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:8081")
		s.Listen.Operators = netip.MustParseAddrPort("127.0.0.1:8082")
		s.Platform.Address = netip.MustParseAddrPort("127.0.0.1:8000")
		p := &replay.Program{Path: path, Dir: GinkgoT().TempDir(), Output: output}
		node = p.Start(replay.Process{Settings: s})
		ended = make(chan error, 1)
		var wg conc.WaitGroup
		wg.Go(func() { ended <- node.Run(ctx) })
		DeferCleanup(wg.Wait)
		_, err = up.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		return node, ended
	}

	It("stops a frozen process once it is resumed", func() {
		node, ended := start(context.Background())
		Expect(node.Pause()).To(Succeed())
		node.Stop()
		Expect(node.Resume()).To(Succeed())
		Expect(<-ended).To(Succeed())
		Expect(node.Pause()).To(MatchError(os.ErrProcessDone))
	})

	It("kills a frozen process", func() {
		ctx, cancel := context.WithCancel(context.Background())
		node, ended := start(ctx)
		Expect(node.Pause()).To(Succeed())
		cancel()
		Expect(<-ended).To(MatchError(context.Canceled))
	})

	It("reports a program that does not exist", func() {
		p := &replay.Program{Path: "no-such-program", Dir: GinkgoT().TempDir()}
		node := p.Start(replay.Process{Settings: settings.Defaults()})
		Expect(node.Run(context.Background())).To(MatchError(ContainSubstring("no-such-program")))
		Expect(node.Pause()).To(MatchError(ContainSubstring("no-such-program")))
	})
})
