package load_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/load"
)

var suiteT *testing.T

func TestLoad(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var _ = Describe("Ledger", func() {
	const rate = 1000

	It("reduces the oldest prefill as time passes, at most to zero", func() {
		var l load.Ledger
		l.Start(&load.Attempt{Started: at(0), Prefill: 1000})
		l.Start(&load.Attempt{Started: at(0), Prefill: 500})
		Expect(l.Total(at(0.4), rate).Prefill).To(BeNumerically("~", 1100, 1))
		Expect(l.Total(at(9), rate).Prefill).To(BeNumerically("~", 500, 1))
	})

	It("does not count local work twice when a late report includes it", func() {
		var l load.Ledger
		b := &load.Attempt{Started: at(0), Prefill: 1000}
		l.Start(b)
		l.ApplyReport(load.Count{Running: 1, Prefill: 1000}, at(0.5))
		Expect(l.Total(at(0.5), 0).Running).To(Equal(1.0))
		l.ApplyReport(load.Count{Running: 4, Prefill: 1000}, at(0.6))
		Expect(l.Total(at(0.6), 0).Running).To(Equal(4.0))
	})

	It("does not subtract work from a report that was made before the work started", func() {
		var l load.Ledger
		l.Start(&load.Attempt{Started: at(1), Prefill: 1000})
		l.ApplyReport(load.Count{Running: 2}, at(0.5))
		Expect(l.Total(at(0.5), 0).Running).To(Equal(3.0))
	})

	It("deducts what the endpoint can have computed only once from local and peers' prefill", func() {
		var l load.Ledger
		l.Start(&load.Attempt{Started: at(0), Prefill: 1000})
		l.SetPeer(7, load.Count{Running: 1, Prefill: 1000}, at(0))
		Expect(l.Total(at(0.5), rate).Prefill).To(BeNumerically("~", 1500, 1))
		Expect(l.Total(at(1.5), rate).Prefill).To(BeNumerically("~", 500, 1))
	})

	It("ignores a report that is older than the last", func() {
		var l load.Ledger
		l.ApplyReport(load.Count{Running: 2}, at(1))
		l.ApplyReport(load.Count{Running: 9}, at(0.5))
		Expect(l.Total(at(1), 0).Running).To(Equal(2.0))
	})

	It("replaces a peer's report and removes an expired one", func() {
		var l load.Ledger
		l.SetPeer(7, load.Count{Running: 5}, at(0))
		l.SetPeer(7, load.Count{Running: 3}, at(1))
		l.SetPeer(8, load.Count{Running: 1}, at(1))
		Expect(l.Total(at(1), 0).Running).To(Equal(4.0))
		l.ExpirePeers(at(60))
		Expect(l.Total(at(60), 0).Running).To(BeZero())
	})

	It("estimates favoured work from the local amount times the number of known instances", func() {
		l := &load.Ledger{}
		now := time.Now()
		first, other := &load.Attempt{Prefill: 100, Favoured: true}, &load.Attempt{Prefill: 900}
		l.Start(first)
		l.Start(other)
		l.SetPeer(1, load.Count{Running: 5, Prefill: 5000}, now)
		expect := func(prefill, running float64) {
			p, r := l.Favoured()
			Expect([]float64{p, r}).To(Equal([]float64{prefill, running}))
		}
		expect(200, 2)
		l.Prefilled(first, now)
		expect(0, 2)
		l.Finish(first, now)
		l.Finish(other, now)
		expect(0, 0)
	})

	It("is empty after all attempts have finished", func() {
		var l load.Ledger
		a, b := &load.Attempt{Started: at(0), Prefill: 10}, &load.Attempt{Started: at(0), Prefill: 20}
		l.Start(a)
		l.Start(b)
		l.Prefilled(a, at(1))
		l.Finish(a, at(2))
		l.Finish(b, at(2))
		Expect(l.Local()).To(Equal(load.Count{}))
	})
})

var _ = Describe("Report", func() {
	It("is refused with negative values", func() {
		Expect((&load.Report{Running: -1}).Validate()).To(HaveOccurred())
		Expect((&load.Report{Running: 1}).Validate()).To(Succeed())
	})
})
