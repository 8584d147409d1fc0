package catalog

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// WriteKnobs writes the page of all knobs in Markdown.
func WriteKnobs(w io.Writer) (err error) {
	var b strings.Builder
	b.WriteString("# Knobs\n\nThe fleet's configurable values: `[defaults]` and `[[exceptions]]` of the configuration set them. `hornbeamctl explain KEY` prints the current value. This page is generated from the tables in the code.\n\n")
	b.WriteString("| key | default | range | meaning |\n|---|---|---|---|\n")
	for _, k := range Knobs() {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s to %s | %s. %s |\n", k.Key,
			formatValue(&k, k.Default), formatValue(&k, k.Min), formatValue(&k, k.Max), k.Title, k.Text)
	}
	_, err = io.WriteString(w, b.String())
	return errors.Wrap(err, "write page of knobs")
}

// formatValue returns a knob's value with its unit.
func formatValue(k *hbs.Knob, v float64) string {
	if k.Unit == hbs.UnitDuration {
		return time.Duration(v * float64(time.Second)).String()
	}
	return fmt.Sprintf("%g %s", v, k.Unit)
}

// WriteMeters writes the page of all metrics in Markdown.
func WriteMeters(w io.Writer) (err error) {
	var b strings.Builder
	b.WriteString("# Counters\n\nWhat each metric of `/metrics` means and what to do when it grows. This page is generated from the tables in the code.\n\n")
	b.WriteString("| metric | kind | unit | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, m := range Meters() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Title, m.Action)
	}
	_, err = io.WriteString(w, b.String())
	return errors.Wrap(err, "write page of metrics")
}
