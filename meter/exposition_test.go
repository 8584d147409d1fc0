package meter_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/meter"
)

func TestMeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "meter")
}

var _ = Describe("Exposition", func() {
	It("writes counters, gauges and histograms with their help texts", func() {
		r := metrics.NewRegistry()
		metrics.GetOrRegisterCounter("requests", r).Inc(3)
		metrics.GetOrRegisterGauge("queue", r).Update(7)
		metrics.GetOrRegisterHistogram("wait", r, metrics.NewUniformSample(10)).Update(5)
		e := meter.Exposition{Registry: r, Meters: []hbs.Meter{{Name: "requests", Title: "Requests of callers"}}}
		var b bytes.Buffer
		Expect(e.Write(&b)).To(Succeed())
		Expect(b.String()).To(ContainSubstring("# HELP hornbeamstage_requests Requests of callers\n# TYPE hornbeamstage_requests counter\nhornbeamstage_requests 3"))
		Expect(b.String()).To(ContainSubstring("hornbeamstage_queue 7"))
		Expect(b.String()).To(ContainSubstring(`hornbeamstage_wait{quantile="0.95"} 5`))
	})
})
