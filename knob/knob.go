// Package knob holds the value of each configurable knob by layer.
package knob

import (
	"maps"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Fixed is a Policy that ignores scopes: defaults with some values replaced, each
// once and for all or by one that moves.
// Settings of one process and tests use it; the fleet's layered configuration
// is in package config.
type Fixed struct {
	values map[hbs.KnobKey]float64
	// moving are the values that change while the process runs.
	moving map[hbs.KnobKey]func() float64
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
	c := f.clone()
	c.values[key] = v
	return c
}

// WithMoving returns a copy of f in which key has the value that v returns at
// the time.
func (f *Fixed) WithMoving(key hbs.KnobKey, v func() float64) *Fixed {
	c := f.clone()
	c.moving[key] = v
	return c
}

func (f *Fixed) clone() *Fixed {
	c := &Fixed{values: maps.Clone(f.values), moving: map[hbs.KnobKey]func() float64{}}
	maps.Copy(c.moving, f.moving)
	return c
}

// Number implements hornbeamstage.Policy.
func (f *Fixed) Number(key hbs.KnobKey, _ hbs.Scope) float64 {
	if v, ok := f.moving[key]; ok {
		return v()
	}
	return f.values[key]
}

// Duration implements hornbeamstage.Policy.
func (f *Fixed) Duration(key hbs.KnobKey, scope hbs.Scope) time.Duration {
	return time.Duration(f.Number(key, scope) * float64(time.Second))
}
