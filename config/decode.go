package config

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Fault is one error of a configuration file.
type Fault struct {
	// Line counts from 1.
	Line int    `json:"line"`
	Text string `json:"text"`
}

// FaultsError holds every error of a configuration file, by line.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error; each fault is on a line of its own.
func (e *FaultsError) Error() string {
	var b strings.Builder
	for i, f := range e.Faults {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d: %s", e.File, f.Line, f.Text)
	}
	return b.String()
}

// Decode reads and checks a configuration in TOML against the known knobs.
// The error is a *FaultsError.
func Decode(name string, data []byte, knobs []hbs.Knob) (*Config, error) {
	d := decoder{lines: locate(data), broken: map[int]bool{}}
	f := d.parse(data)
	c := d.convert(f, knobs)
	for _, p := range c.Check(knobs) {
		d.problem(p)
	}
	if len(d.faults) == 0 {
		return c, nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return nil, &FaultsError{name, slices.Compact(d.faults)}
}

// maxBrokenLines bounds how many lines are set aside to look for more errors.
const maxBrokenLines = 100

type decoder struct {
	lines  positions
	faults []Fault
	// broken lines have an error of syntax or type already; later checks say
	// nothing about them, for they never saw their values.
	broken map[int]bool
}

// parse decodes data. The library stops at the first error of syntax or type,
// so the offending line is blanked and the rest decoded again.
func (d *decoder) parse(data []byte) *file {
	for range maxBrokenLines {
		f, again := d.attempt(data)
		if !again {
			return f
		}
		data = blank(data, d.faults[len(d.faults)-1].Line)
		for path, line := range locate(data) {
			if !d.lines.written(path) {
				d.lines[path] = line
			}
		}
	}
	return &file{}
}

// attempt decodes data once and reports whether to do so again without the
// line of the last fault.
func (d *decoder) attempt(data []byte) (f *file, again bool) {
	f = &file{}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(f)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			d.fault(line, "key %q is not known", strings.Join(unknown.Errors[i].Key(), "."))
		}
		return f, false
	}
	if err == nil {
		return f, false
	}
	line := 1
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ = wrong.Position()
	}
	if d.broken[line] {
		return f, false
	}
	d.broken[line] = true
	d.fault(line, "%s", strings.TrimPrefix(err.Error(), "toml: "))
	return f, true
}

func (d *decoder) problem(p Problem) {
	if line := d.lines.line(p.Path); !d.broken[line] {
		d.fault(line, "%s: %s", p.Path, p.Text)
	}
}

func (d *decoder) fault(line int, format string, args ...any) {
	d.faults = append(d.faults, Fault{line, fmt.Sprintf(format, args...)})
}

// blank empties one line and keeps the numbers of the others.
func blank(data []byte, line int) []byte {
	lines := bytes.Split(data, []byte("\n"))
	if line >= 1 && line <= len(lines) {
		lines[line-1] = nil
	}
	return bytes.Join(lines, []byte("\n"))
}
