// Package meter writes a go-metrics registry in the Prometheus text format.
package meter

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Prefix starts the name of every exported metric.
const Prefix = "hornbeamstage_"

// quantiles are exported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Exposition is an http.Handler that serves the metrics of Registry to Prometheus.
type Exposition struct {
	Registry metrics.Registry
	// Meters describes the metrics. A metric that is not listed has no help text.
	Meters []hbs.Meter
}

// ServeHTTP implements http.Handler.
func (e *Exposition) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	// An error means that the scraper has disconnected and can't get a response.
	_ = e.Write(w)
}

// Write writes all metrics to w, sorted by name.
func (e *Exposition) Write(w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "write metrics") }()
	var families []*dto.MetricFamily
	e.Registry.Each(func(name string, m any) {
		if f := e.family(name, m); f != nil {
			families = append(families, f)
		}
	})
	slices.SortFunc(families, func(a, b *dto.MetricFamily) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return err
		}
	}
	return nil
}

// family converts a metric. It returns nil for types that are not exported.
func (e *Exposition) family(name string, m any) *dto.MetricFamily {
	full := Prefix + name
	f := &dto.MetricFamily{Name: &full, Help: e.help(name)}
	switch m := m.(type) {
	case metrics.Counter:
		v := float64(m.Count())
		f.Type = dto.MetricType_COUNTER.Enum()
		f.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: &v}}}
	case metrics.Gauge:
		setGauge(f, float64(m.Value()))
	case metrics.GaugeFloat64:
		setGauge(f, m.Value())
	case metrics.Histogram:
		f.Type = dto.MetricType_SUMMARY.Enum()
		f.Metric = []*dto.Metric{{Summary: summary(m.Snapshot())}}
	default:
		return nil
	}
	return f
}

func setGauge(f *dto.MetricFamily, v float64) {
	f.Type = dto.MetricType_GAUGE.Enum()
	f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: &v}}}
}

func (e *Exposition) help(name string) *string {
	for _, m := range e.Meters {
		if m.Name == name {
			return &m.Title
		}
	}
	return nil
}

func summary(h metrics.Histogram) *dto.Summary {
	n := uint64(h.Count())
	sum := float64(h.Sum())
	s := &dto.Summary{SampleCount: &n, SampleSum: &sum}
	for _, q := range quantiles {
		v := h.Percentile(q)
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &q, Value: &v})
	}
	return s
}
