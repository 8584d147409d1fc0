// Package knob holds the value of each configurable knob by layer.
package knob

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Fixed is a Policy that ignores scopes: defaults with some values replaced.
// Settings of one process and tests use it; the fleet's layered configuration
// is in package config.
type Fixed struct {
	values map[hbs.KnobKey]float64
}

// NewFixed returns a policy with the defaults of all tables.
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
	c := &Fixed{values: make(map[hbs.KnobKey]float64, len(f.values)+1)}
	for k, old := range f.values {
		c.values[k] = old
	}
	c.values[key] = v
	return c
}

// Number implements hornbeamstage.Policy.
func (f *Fixed) Number(key hbs.KnobKey, _ hbs.Scope) float64 { return f.values[key] }

// Duration implements hornbeamstage.Policy.
func (f *Fixed) Duration(key hbs.KnobKey, scope hbs.Scope) time.Duration {
	return time.Duration(f.Number(key, scope) * float64(time.Second))
}
