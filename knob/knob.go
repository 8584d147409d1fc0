// Package knob provides a Policy with fixed knob values for settings of one
// process and for tests. A knob is a configurable value with a default and a
// range. Package config implements the fleet's Policy.
package knob

import (
	"maps"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Fixed is a Policy that ignores scopes. It returns the knobs' defaults unless
// With or WithFunc overrides them.
type Fixed struct {
	values map[hbs.KnobKey]float64
	// funcs compute the values that change while the process runs. They take
	// precedence over values.
	funcs map[hbs.KnobKey]func() float64
}

// NewFixed returns a policy with the defaults of the knobs in tables.
func NewFixed(tables ...[]hbs.Knob) *Fixed {
	f := &Fixed{values: map[hbs.KnobKey]float64{}}
	for _, table := range tables {
		for _, k := range table {
			f.values[k.Key] = k.Default
		}
	}
	return f
}

// With returns a copy of f in which key has the value v in the knob's unit
// (durations in seconds).
func (f *Fixed) With(key hbs.KnobKey, v float64) *Fixed {
	c := f.clone()
	c.values[key] = v
	return c
}

// WithFunc returns a copy of f that calls v for the value of key at each lookup.
func (f *Fixed) WithFunc(key hbs.KnobKey, v func() float64) *Fixed {
	c := f.clone()
	c.funcs[key] = v
	return c
}

func (f *Fixed) clone() *Fixed {
	c := &Fixed{values: maps.Clone(f.values), funcs: map[hbs.KnobKey]func() float64{}}
	maps.Copy(c.funcs, f.funcs)
	return c
}

// Number implements hornbeamstage.Policy.
func (f *Fixed) Number(key hbs.KnobKey, _ hbs.Scope) float64 {
	if v, ok := f.funcs[key]; ok {
		return v()
	}
	return f.values[key]
}

// Duration implements hornbeamstage.Policy.
func (f *Fixed) Duration(key hbs.KnobKey, scope hbs.Scope) time.Duration {
	return time.Duration(f.Number(key, scope) * float64(time.Second))
}
