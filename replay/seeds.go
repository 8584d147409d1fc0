package replay

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamstage/hornbeamstage/trace"
)

// runSeeds plays the trace with each of the o.Seeds seeds from o.Seed on.
func (c *Command) runSeeds(t *trace.Trace, o *runOptions, in func(f func())) (reports []*Report, err error) {
	for i := range max(1, o.Seeds) {
		next := *o
		next.Seed += uint64(i)
		rep, err := c.runSeed(t, &next, in)
		if err != nil {
			return nil, err
		}
		reports = append(reports, rep)
	}
	return reports, nil
}

// summarize returns the report of a single seed as it is. For several seeds it
// writes the median and range of the main measures and returns the median report.
func (c *Command) summarize(reports []*Report) (rep *Report, err error) {
	if len(reports) == 1 {
		return reports[0], nil
	}
	if err := c.writeSpread(reports); err != nil {
		return nil, err
	}
	return medians(reports)
}

// spreadMeasures are the measures whose median and range over seeds are written.
var spreadMeasures = []string{
	"violation_count", "answered", "not_run", "unknown", "failed",
	"prefix_hit_rate", "hit_rate_of_oracle", "recomputed_tokens_share",
	"ttft_seconds.p50", "ttft_seconds.p95", "ttft_seconds.p99", "inter_token_seconds.p95",
	"short_wait_seconds.p99", "goodput_at_crest", "goodput", "goodput_of_capacity",
	"light_workspaces_refused", "fair_share.requests", "fair_share.lost", "fair_share.refused",
	"platform_calls_per_second", "control_bytes_per_second_per_instance", "wall_seconds",
}

// limitMeasures are written in addition if the faults set limits.
var limitMeasures = []string{
	"limits.rate.most", "limits.rate.least", "limits.rate.cut_least", "limits.rate.recovery_seconds",
	"limits.concurrency.most", "limits.concurrency.least", "limits.concurrency.cut_least", "limits.concurrency.recovery_seconds",
}

// writeSpread writes the median and range of the main measures.
func (c *Command) writeSpread(reports []*Report) error {
	first := reports[0]
	names := spreadMeasures
	if first.Limits != (Limits{}) {
		names = slices.Concat(names, limitMeasures)
	}
	fmt.Fprintf(c.Errors, "%s, policy %s, %d seeds: median (least to most)\n", first.Trace, first.Policy, len(reports))
	for _, name := range names {
		var values []float64
		for _, r := range reports {
			v, err := r.Measure(name)
			if err != nil {
				return err
			}
			values = append(values, v)
		}
		m := median(values)
		fmt.Fprintf(c.Errors, "  %-40s %.4g (%.4g to %.4g)\n", name, m, slices.Min(values), slices.Max(values))
	}
	return nil
}

func median[T cmp.Ordered](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

// medians returns a report in which each number is the median of the reports', but
// violations are summed.
func medians(reports []*Report) (rep *Report, err error) {
	defer func() { err = errors.Wrap(err, "medians") }()
	var trees []map[string]any
	for _, r := range reports {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		var tree map[string]any
		if err := json.Unmarshal(data, &tree); err != nil {
			return nil, err
		}
		trees = append(trees, tree)
	}
	data, err := json.Marshal(medianTree(trees))
	if err != nil {
		return nil, err
	}
	rep = &Report{}
	if err := json.Unmarshal(data, rep); err != nil {
		return nil, err
	}
	rep.sumViolations(reports)
	return rep, nil
}

// medianTree returns the tree of trees[0], with each number replaced by the median
// over all trees.
func medianTree(trees []map[string]any) map[string]any {
	out := map[string]any{}
	for key, v := range trees[0] {
		switch v.(type) {
		case map[string]any:
			out[key] = medianTree(subtrees(trees, key))
		case float64:
			out[key] = median(numbers(trees, key))
		default:
			out[key] = v
		}
	}
	return out
}

func subtrees(trees []map[string]any, key string) (found []map[string]any) {
	for _, t := range trees {
		if sub, ok := t[key].(map[string]any); ok {
			found = append(found, sub)
		}
	}
	return found
}

func numbers(trees []map[string]any, key string) (found []float64) {
	for _, t := range trees {
		if v, ok := t[key].(float64); ok {
			found = append(found, v)
		}
	}
	return found
}

func (r *Report) sumViolations(reports []*Report) {
	r.Violations = map[Violation]int{}
	r.ViolationCount = 0
	r.Examples = nil
	for _, one := range reports {
		r.ViolationCount += one.ViolationCount
		r.Examples = append(r.Examples, one.Examples...)
		for p, n := range one.Violations {
			r.Violations[p] += n
		}
	}
}
