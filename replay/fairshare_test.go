package replay_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/replay"
)

var _ = Describe("Fair share", func() {
	surge := replay.Fault{AtSeconds: 1, Kind: replay.FaultWorkspaceSurge, Target: "w1", Factor: 60, ForSeconds: 2}
	run := func(g *WithT, start replay.Starter, faults ...replay.Fault) *replay.Report {
		r := &replay.Replay{Trace: small(), Start: start, Seed: 1, Clock: replay.ClockVirtual, Faults: faults, Log: zap.NewNop()}
		rep, err := r.Run(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return rep
	}

	It("has every workspace within its share without a surge", func() {
		synctest(func(g *WithT) {
			rep := run(g, startNaive(false))
			g.Expect(rep.FairShare.Workspaces).To(Equal(2))
			g.Expect(rep.FairShare.Over).To(BeZero())
			g.Expect(rep.FairShare.Lost).To(BeZero())
		})
	})

	It("reports requests lost to the surge of another workspace if nothing limits it", func() {
		synctest(func(g *WithT) {
			rep := run(g, startNaive(false), surge)
			g.Expect(rep.Requests).To(BeNumerically(">", 200))
			g.Expect(rep.FairShare.Over).To(Equal(1))
			g.Expect(rep.FairShare.Workspaces).To(Equal(1))
			g.Expect(rep.FairShare.Lost).To(BeNumerically(">", 0))
		})
	})
})
