package replay

import (
	"fmt"
	"path/filepath"

	"github.com/hornbeamstage/hornbeamstage/trace"
)

// compare plays the comparisons of outcomes and checks them against main, the
// reports of the main replay. Comparisons with the same options share one replay.
func (c *Command) compare(t *trace.Trace, o *runOptions, in func(f func()), outcomes *Outcomes, main []*Report) (verdicts []Verdict, err error) {
	played := map[runOptions][]*Report{}
	for _, cmp := range outcomes.Comparisons {
		other := cmp.options(o)
		if played[other] == nil {
			if played[other], err = c.runOther(t, &other, in, cmp.Name); err != nil {
				return nil, err
			}
		}
		more, err := cmp.CheckSeeds(main, played[other])
		if err != nil {
			return nil, err
		}
		verdicts = append(verdicts, more...)
	}
	return verdicts, nil
}

// runOther plays the other replay of a comparison and, with several seeds, writes
// its median and range.
func (c *Command) runOther(t *trace.Trace, o *runOptions, in func(f func()), name string) (reports []*Report, err error) {
	if reports, err = c.runSeeds(t, o, in); err != nil || len(reports) == 1 {
		return reports, err
	}
	fmt.Fprintf(c.Errors, "comparison %s: ", name)
	return reports, c.writeSpread(reports)
}

// options returns the options of the main replay with the comparison's changes.
func (c *Comparison) options(main *runOptions) runOptions {
	o := *main
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
