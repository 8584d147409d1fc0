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

// Fault is one error in a configuration file.
type Fault struct {
	// Line counts from 1.
	Line int    `json:"line"`
	Text string `json:"text"`
}

// FaultsError lists every error in a configuration file, sorted by line.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error. It returns one line per fault.
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

// Decode parses a configuration in TOML and validates it against knobs. The
// error is a *FaultsError.
func Decode(name string, data []byte, knobs []hbs.Knob) (*Config, error) {
	d := decoder{lines: indexLines(data), invalidLines: map[int]bool{}}
	f := d.parse(data)
	c := d.convert(f, knobs)
	for _, p := range c.Check(knobs) {
		d.addProblem(p)
	}
	if len(d.faults) == 0 {
		return c, nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return nil, &FaultsError{name, slices.Compact(d.faults)}
}

// maxInvalidLines limits the lines that parse blanks to find further errors, as
// it decodes the whole file again for each.
const maxInvalidLines = 100

type decoder struct {
	lines  lineIndex
	faults []Fault
	// invalidLines holds the lines with a reported syntax or type error. Later
	// problems of these lines are not reported, since their values were not decoded.
	invalidLines map[int]bool
}

// parse decodes data. The TOML library stops at the first syntax or type error,
// so parse blanks the offending line and decodes the rest again.
func (d *decoder) parse(data []byte) *file {
	for range maxInvalidLines {
		f, retry := d.decodeOnce(data)
		if !retry {
			return f
		}
		data = blankLine(data, d.faults[len(d.faults)-1].Line)
		for path, line := range indexLines(data) {
			if !d.lines.contains(path) {
				d.lines[path] = line
			}
		}
	}
	d.addFault(d.faults[len(d.faults)-1].Line, "errors after the first %d invalid lines are not reported", maxInvalidLines)
	return &file{}
}

// decodeOnce decodes data and reports whether to retry without the line of the
// last fault.
func (d *decoder) decodeOnce(data []byte) (f *file, retry bool) {
	f = &file{}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(f)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			d.addFault(line, "unknown key %q", strings.Join(unknown.Errors[i].Key(), "."))
		}
		return f, false
	}
	if err == nil {
		return f, false
	}
	line := 1
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	if d.invalidLines[line] {
		return f, false
	}
	d.invalidLines[line] = true
	d.addFault(line, "%s", strings.TrimPrefix(err.Error(), "toml: "))
	return f, true
}

func (d *decoder) addProblem(p Problem) {
	if line := d.lines.line(p.Path); !d.invalidLines[line] {
		d.addFault(line, "%s: %s", p.Path, p.Text)
	}
}

func (d *decoder) addFault(line int, format string, args ...any) {
	d.faults = append(d.faults, Fault{line, fmt.Sprintf(format, args...)})
}

// blankLine empties one line, so that the other lines keep their numbers.
func blankLine(data []byte, line int) []byte {
	lines := bytes.Split(data, []byte("\n"))
	if line >= 1 && line <= len(lines) {
		lines[line-1] = nil
	}
	return bytes.Join(lines, []byte("\n"))
}
