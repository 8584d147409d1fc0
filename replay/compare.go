package replay

import (
	"fmt"
	"path/filepath"

	"github.com/hornbeamstage/hornbeamstage/trace"
)

// compare plays the comparisons of outcomes with the seeds of own, each
// different one once.
func (c *Command) compare(t *trace.Trace, o *runOptions, in func(f func()), outcomes *Outcomes, own []*Report) (verdicts []Verdict, err error) {
	played := map[runOptions][]*Report{}
	for _, cmp := range outcomes.Comparisons {
		other := cmp.options(o)
		if played[other] == nil {
			if played[other], err = c.other(t, &other, in, cmp.Name); err != nil {
				return nil, err
			}
		}
		more, err := cmp.CheckSeeds(own, played[other])
		if err != nil {
			return nil, err
		}
		verdicts = append(verdicts, more...)
	}
	return verdicts, nil
}

// other plays the other replay of a comparison and writes its spread.
func (c *Command) other(t *trace.Trace, o *runOptions, in func(f func()), name string) (reports []*Report, err error) {
	if reports, err = c.seeds(t, o, in); err != nil || len(reports) == 1 {
		return reports, err
	}
	fmt.Fprintf(c.Errors, "comparison %s: ", name)
	return reports, c.writeSpread(reports)
}

// options returns those of the main replay with the comparison's changes.
func (c *Comparison) options(own *runOptions) runOptions {
	o := *own
	if c.Policy != "" {
		o.Policy = c.Policy
	}
	if c.Faults != "" {
		o.Faults = filepath.Join(filepath.Dir(o.Trace), c.Faults)
	}
	if c.Without != "" {
		o.Without = c.Without
	}
	if c.Load > 0 {
		o.Load = c.Load
	}
	return o
}
