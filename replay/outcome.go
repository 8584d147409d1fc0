package replay

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/hornbeamstage/hornbeamstage/trace"
)

// Outcomes are the stated (expected) outcomes of a trace, as read from a
// TOML file.
type Outcomes struct {
	Bounds      []Bound      `toml:"bounds"`
	Comparisons []Comparison `toml:"comparisons"`
}

// Bound is the bounds of one measure. AtMost and AtLeast are nil if unbounded.
type Bound struct {
	// Measure is the JSON path of a number in the report.
	Measure string   `toml:"measure"`
	AtMost  *float64 `toml:"at_most"`
	AtLeast *float64 `toml:"at_least"`
	// CI marks bounds that must hold for every seed; only these are checked with
	// the option --ci.
	CI bool `toml:"ci"`
}

// Comparison bounds a measure relative to that of another replay of the trace.
type Comparison struct {
	Name    string `toml:"name"`
	Measure string `toml:"measure"`
	// Policy, Faults, Without and Load are the options of the other replay. Those
	// that are not set are as in the main replay.
	Policy  string     `toml:"policy"`
	Faults  string     `toml:"faults"`
	Without trace.Work `toml:"without"`
	Load    float64    `toml:"load"`
	// OtherAtMost and OtherAtLeast bound the measure of the other replay divided by
	// that of the main one, ValueAtMost and ValueAtLeast the measure of the other
	// replay itself.
	OtherAtMost  *float64 `toml:"other_at_most"`
	OtherAtLeast *float64 `toml:"other_at_least"`
	ValueAtLeast *float64 `toml:"value_at_least"`
	ValueAtMost  *float64 `toml:"value_at_most"`
}

// Verdict is the result of checking one bound.
type Verdict struct {
	Name string  `json:"name"`
	Got  float64 `json:"got"`
	Want string  `json:"want"`
	Met  bool    `json:"met"`
	// Least and Most are the range over several seeds, of which Got is the median.
	// Both are 0 with a single seed.
	Least float64 `json:"least,omitempty"`
	Most  float64 `json:"most,omitempty"`
}

func (v *Verdict) value() string {
	if v.Least == 0 && v.Most == 0 {
		return fmt.Sprintf("%.4g", v.Got)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", v.Got, v.Least, v.Most)
}

// ReadOutcomes reads an outcomes file.
func ReadOutcomes(name string) (o Outcomes, err error) {
	defer func() { err = errors.Wrapf(err, "outcomes %s", name) }()
	data, err := os.ReadFile(name)
	if err != nil {
		return o, err
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return o, dec.Decode(&o)
}

// Check checks the bounds; with onlyCI, only those marked CI.
func (o *Outcomes) Check(r *Report, onlyCI bool) (verdicts []Verdict, err error) {
	for _, b := range o.Bounds {
		if onlyCI && !b.CI {
			continue
		}
		got, err := r.Measure(b.Measure)
		if err != nil {
			return nil, err
		}
		verdicts = append(verdicts, checkBounds(b.Measure, got, b.AtMost, b.AtLeast)...)
	}
	return verdicts, nil
}

// Check checks one comparison of two replays with the same seed.
func (c *Comparison) Check(main, other *Report) (verdicts []Verdict, err error) {
	a, err := main.Measure(c.Measure)
	if err != nil {
		return nil, err
	}
	b, err := other.Measure(c.Measure)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s: %s", c.Name, c.Measure)
	verdicts = checkBounds(name, b, c.ValueAtMost, c.ValueAtLeast)
	if c.OtherAtMost == nil && c.OtherAtLeast == nil {
		return verdicts, nil
	}
	if a == 0 {
		return nil, errors.Newf("%s: the main replay's measure is 0", name)
	}
	return append(verdicts, checkBounds(name+" ratio", b/a, c.OtherAtMost, c.OtherAtLeast)...), nil
}

// CheckSeeds compares the replays seed by seed and returns, for each bound, the
// verdict of the median.
func (c *Comparison) CheckSeeds(main, other []*Report) (verdicts []Verdict, err error) {
	var bySeed [][]Verdict
	for i := range main {
		v, err := c.Check(main[i], other[i])
		if err != nil {
			return nil, err
		}
		bySeed = append(bySeed, v)
	}
	for k := range bySeed[0] {
		verdicts = append(verdicts, medianVerdict(bySeed, k))
	}
	return verdicts, nil
}

// medianVerdict returns verdict k of the seed with the median value.
func medianVerdict(bySeed [][]Verdict, k int) Verdict {
	var all []Verdict
	for _, v := range bySeed {
		all = append(all, v[k])
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Got, b.Got) })
	v := all[(len(all)-1)/2]
	if len(all) > 1 {
		v.Least, v.Most = all[0].Got, all[len(all)-1].Got
	}
	return v
}

// checkBounds returns a verdict for each bound that is not nil.
func checkBounds(name string, got float64, most, least *float64) (verdicts []Verdict) {
	if most != nil {
		verdicts = append(verdicts, Verdict{Name: name, Got: got, Want: fmt.Sprintf("at most %g", *most), Met: got <= *most})
	}
	if least != nil {
		verdicts = append(verdicts, Verdict{Name: name, Got: got, Want: fmt.Sprintf("at least %g", *least), Met: got >= *least})
	}
	return verdicts
}
