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

// Outcomes are the stated outcomes of a trace, from a TOML file.
type Outcomes struct {
	Bounds      []Bound      `toml:"bounds"`
	Comparisons []Comparison `toml:"comparisons"`
}

// Bound limits one measure. AtMost and AtLeast are nil when there is none.
type Bound struct {
	// Measure is the JSON path of a report's number.
	Measure string   `toml:"measure"`
	AtMost  *float64 `toml:"at_most"`
	AtLeast *float64 `toml:"at_least"`
	// CI marks bounds that hold for every seed; the others are reported only.
	CI bool `toml:"ci"`
}

// Comparison limits a measure relative to that of another replay of the trace.
type Comparison struct {
	Name    string `toml:"name"`
	Measure string `toml:"measure"`
	// Policy, Faults, Without and Load describe the other replay; what is not
	// set is as in the main one.
	Policy  string     `toml:"policy"`
	Faults  string     `toml:"faults"`
	Without trace.Work `toml:"without"`
	Load    float64    `toml:"load"`
	// The other's measure divided by the main one's is at most OtherAtMost, or at
	// least OtherAtLeast; the other's own value is at least ValueAtLeast.
	OtherAtMost  *float64 `toml:"other_at_most"`
	OtherAtLeast *float64 `toml:"other_at_least"`
	ValueAtLeast *float64 `toml:"value_at_least"`
	ValueAtMost  *float64 `toml:"value_at_most"`
}

// Verdict is one checked outcome.
type Verdict struct {
	Name string  `json:"name"`
	Got  float64 `json:"got"`
	Want string  `json:"want"`
	Met  bool    `json:"met"`
	// Least and Most are the spread over seeds of which Got is the median; both
	// are 0 with one seed.
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

// Check judges the bounds; with onlyCI those that are not marked are left out.
func (o *Outcomes) Check(r *Report, onlyCI bool) (verdicts []Verdict, err error) {
	for _, b := range o.Bounds {
		if onlyCI && !b.CI {
			continue
		}
		got, err := r.Measure(b.Measure)
		if err != nil {
			return nil, err
		}
		verdicts = append(verdicts, judgeValue(b.Measure, got, b.AtMost, b.AtLeast)...)
	}
	return verdicts, nil
}

// Check judges one comparison.
func (c *Comparison) Check(own, other *Report) (verdicts []Verdict, err error) {
	a, err := own.Measure(c.Measure)
	if err != nil {
		return nil, err
	}
	b, err := other.Measure(c.Measure)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s: %s", c.Name, c.Measure)
	verdicts = judgeValue(name, b, c.ValueAtMost, c.ValueAtLeast)
	if c.OtherAtMost == nil && c.OtherAtLeast == nil {
		return verdicts, nil
	}
	if a == 0 {
		return nil, errors.Newf("%s: the main replay's measure is 0", name)
	}
	return append(verdicts, judgeValue(name+" ratio", b/a, c.OtherAtMost, c.OtherAtLeast)...), nil
}

// CheckSeeds judges one comparison by the median over seeds, each play of the
// main replay against the other's of the same seed.
func (c *Comparison) CheckSeeds(own, other []*Report) (verdicts []Verdict, err error) {
	var bySeed [][]Verdict
	for i := range own {
		v, err := c.Check(own[i], other[i])
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

// medianVerdict returns the verdict k of the seed whose value is the median.
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

func judgeValue(name string, got float64, most, least *float64) (verdicts []Verdict) {
	if most != nil {
		verdicts = append(verdicts, Verdict{Name: name, Got: got, Want: fmt.Sprintf("at most %g", *most), Met: got <= *most})
	}
	if least != nil {
		verdicts = append(verdicts, Verdict{Name: name, Got: got, Want: fmt.Sprintf("at least %g", *least), Met: got >= *least})
	}
	return verdicts
}
