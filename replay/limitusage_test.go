package replay_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/replay"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

var _ = Describe("Limits in a replay", func() {
	// long is the trace of small, stretched so that it lasts until a limit must be
	// in force at every instance.
	long := func() *trace.Trace {
		t := small()
		t.Header.Seconds = 5 * smallSeconds
		for i := range t.Requests {
			t.Requests[i].At *= 5
		}
		return t
	}
	limited := replay.Fault{AtSeconds: 1, Kind: replay.FaultWorkspaceLimit, Target: "w2", RequestsPerSecond: 0.2, Concurrency: 1}
	run := func(g *WithT, start replay.Starter, faults ...replay.Fault) replay.Limits {
		r := &replay.Replay{Trace: long(), Start: start, Seed: 1, Clock: replay.ClockVirtual, Faults: faults, Log: zap.NewNop()}
		rep, err := r.Run(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return rep.Limits
	}

	It("are reported as exceeded by a router that enforces none", func() {
		synctest(func(g *WithT) {
			got := run(g, startNaive(false), limited)
			g.Expect(got.Rate.Most).To(BeNumerically(">", 1.1))
			g.Expect(got.Rate.Refused).To(BeZero())
		})
	})

	It("are reported as enforced when all requests arrive at one instance", func() {
		synctest(func(g *WithT) {
			lopsided := replay.Fault{AtSeconds: 0, Kind: replay.FaultEntryLopsided, Target: "i1", Share: 1}
			got := run(g, replay.StartRouter, limited, lopsided)
			g.Expect(got.Rate.Most).To(BeNumerically("<=", 1.1))
			g.Expect(got.Rate.Least).To(BeNumerically(">", 0.5))
			g.Expect(got.Rate.Refused).To(BeNumerically(">", 0.5))
			g.Expect(got.Concurrency.Most).To(BeNumerically("<=", 1))
		})
	})

	It("fail the replay if their target matches no workspace", func() {
		synctest(func(g *WithT) {
			r := &replay.Replay{Trace: small(), Start: startNaive(false), Seed: 1, Clock: replay.ClockVirtual, Log: zap.NewNop(),
				Faults: []replay.Fault{{Kind: replay.FaultWorkspaceLimit, Target: "none", Concurrency: 1}}}
			_, err := r.Run(context.Background())
			g.Expect(err).To(MatchError(ContainSubstring("no such target")))
		})
	})
})
