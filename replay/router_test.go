package replay_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/replay"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

var _ = Describe("The router in a replay", func() {
	DescribeTable("keeps its guarantees", func(faults ...replay.Fault) {
		synctest(func(g *WithT) {
			t := small()
			t.Header.Fleet.Services[0].Capabilities = hbs.Capabilities{EchoesAttempt: true}
			t.Header.Fleet.Engines[0].Capabilities = hbs.Capabilities{EchoesAttempt: true, Resume: true, CachedTokens: true, Priority: true}
			t.Header.Fleet.Services[0].Routes = []trace.Route{{Method: "POST", Path: "/bookings", Class: hbs.ClassOnce}}
			r := &replay.Replay{
				Trace:  t,
				Start:  replay.StartRouter,
				Seed:   1,
				Clock:  replay.ClockVirtual,
				Faults: faults,
				Log:    zap.NewNop(),
			}
			rep, err := r.Run(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rep.Violations).To(BeEmpty(), "%v", rep.Examples)
			g.Expect(rep.Answered).To(BeNumerically(">", rep.Requests/2))
		})
	},
		Entry("without faults"),
		Entry("while an instance is killed", replay.Fault{AtSeconds: 2.47, Kind: replay.FaultInstanceKill, Target: "i1", ForSeconds: 0.5}),
		Entry("while an instance stops", replay.Fault{AtSeconds: 2.47, Kind: replay.FaultInstanceStop, Target: "i1", ForSeconds: 0.5}),
		Entry("while an engine crashes", replay.Fault{AtSeconds: 2.47, Kind: replay.FaultEngineCrash, Target: "m-01", ForSeconds: 1}),
		Entry("while answers are crossed", replay.Fault{AtSeconds: 2, Kind: replay.FaultEngineCross, Target: "m-*", Times: 5}),
		Entry("while calls lose their connection after they ran", replay.Fault{AtSeconds: 2, Kind: replay.FaultServiceDieAfterRun, Target: "jobs-*", Times: 5}),
		Entry("while an instance stalls for less than a deadline", replay.Fault{AtSeconds: 2.47, Kind: replay.FaultInstanceStall, Target: "i1", ForSeconds: 1.5}),
		Entry("while an instance stalls for longer than callers wait", replay.Fault{AtSeconds: 2.47, Kind: replay.FaultInstanceStall, Target: "i1", ForSeconds: 12}),
		Entry("while an engine's responses don't end", replay.Fault{AtSeconds: 2, Kind: replay.FaultEngineEndless, Target: "m-01", ForSeconds: 1.5}),
		Entry("while a replica's responses don't end", replay.Fault{AtSeconds: 2, Kind: replay.FaultServiceEndless, Target: "jobs-*", ForSeconds: 1.5}),
		Entry("while an endpoint leaves", replay.Fault{AtSeconds: 0.5, Kind: replay.FaultEndpointLeaving, Target: "m-01"}),
	)
})
