package replay_test

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/replay"
)

var _ = Describe("Outcomes", func() {
	report := &replay.Report{ViolationCount: 1, TTFT: replay.Quantiles{P95: 0.5}}

	It("checks each bound", func() {
		most, least := 0.48, 0.4
		o := replay.Outcomes{Bounds: []replay.Bound{
			{Measure: "ttft_seconds.p95", AtMost: &most, AtLeast: &least},
			{Measure: "violation_count", AtMost: new(float64), CI: true},
		}}
		v, err := o.Check(report, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(v).To(HaveLen(3))
		Expect([]bool{v[0].Met, v[1].Met, v[2].Met}).To(Equal([]bool{false, true, false}))
		v, err = o.Check(report, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(v).To(HaveLen(1))
	})

	It("compares a replay with another", func() {
		most := 1.25
		c := replay.Comparison{Name: "slowed", Measure: "ttft_seconds.p95", OtherAtMost: &most}
		v, err := c.Check(report, &replay.Report{TTFT: replay.Quantiles{P95: 0.7}})
		Expect(err).NotTo(HaveOccurred())
		Expect(v[0].Met).To(BeFalse())
		Expect(v[0].Got).To(BeNumerically("~", 1.4))
	})

	It("compares seed by seed and checks the median", func() {
		most := 1.25
		c := replay.Comparison{Name: "slowed", Measure: "ttft_seconds.p95", OtherAtMost: &most}
		p95 := func(seconds float64) *replay.Report { return &replay.Report{TTFT: replay.Quantiles{P95: seconds}} }
		main := []*replay.Report{p95(1), p95(2), p95(4)}
		v, err := c.CheckSeeds(main, []*replay.Report{p95(1.3), p95(2.4), p95(4.4)})
		Expect(err).NotTo(HaveOccurred())
		Expect(v).To(HaveLen(1))
		Expect(v[0].Met).To(BeTrue())
		Expect([]float64{v[0].Least, v[0].Got, v[0].Most}).To(HaveExactElements(
			BeNumerically("~", 1.1), BeNumerically("~", 1.2), BeNumerically("~", 1.3)))
	})

	It("refuses a measure that the report does not have", func() {
		o := replay.Outcomes{Bounds: []replay.Bound{{Measure: "speed"}}}
		_, err := o.Check(report, false)
		Expect(err).To(MatchError(ContainSubstring("no such measure")))
	})

	DescribeTable("reads the shipped files", func(pattern string, read func(name string) error) {
		names, err := filepath.Glob("../traces/" + pattern)
		Expect(err).NotTo(HaveOccurred())
		Expect(names).NotTo(BeEmpty())
		for _, name := range names {
			Expect(read(name)).To(Succeed())
		}
	},
		Entry("outcomes", "*.outcomes.toml", func(name string) error {
			o, err := replay.ReadOutcomes(name)
			if err != nil {
				return err
			}
			_, err = o.Check(report, false)
			return err
		}),
		Entry("faults", "faults/*.toml", func(name string) error {
			_, err := replay.ReadFaults(name)
			return err
		}),
	)
})

var _ = Describe("Command", func() {
	run := func(args ...string) (code int, out, errs string) {
		var o, e bytes.Buffer
		c := &replay.Command{Out: &o, Errors: &e}
		code = c.Run(args)
		return code, o.String(), e.String()
	}

	It("makes a trace", func() {
		file := filepath.Join(GinkgoT().TempDir(), "t.jsonl")
		code, _, _ := run("make", "--workload", "../traces/tambuli.workload.toml", "--seed", "7", "--out", file)
		Expect(code).To(Equal(replay.ExitMet))
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"seed":7`))
	})

	It("distinguishes wrong usage from a failure", func() {
		code, _, errs := run("run")
		Expect(code).To(Equal(replay.ExitUsage))
		Expect(errs).To(ContainSubstring("--trace"))
		code, _, _ = run("make", "--workload", "none.toml")
		Expect(code).To(Equal(replay.ExitFailed))
		code, out, _ := run("--help")
		Expect(code).To(Equal(replay.ExitMet))
		Expect(out).To(ContainSubstring("Exit codes"))
	})
})
