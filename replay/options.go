package replay

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/hornbeamstage/hornbeamstage/trace"
)

// runOptions are the options of "replay run".
type runOptions struct {
	Trace    string     `long:"trace" required:"true" value-name:"FILE" description:"trace to play"`
	Policy   string     `long:"policy" value-name:"NAME" description:"placement policy: fleet, random, round_robin, least_loaded or prefix_only" default:"fleet"`
	Seed     uint64     `long:"seed" value-name:"N" description:"seed of balancer, stand-ins and routers" default:"1"`
	Seeds    int        `long:"seeds" value-name:"N" description:"number of consecutive seeds to play, from --seed on; the medians are checked" default:"1"`
	Clock    string     `long:"clock" choice:"virtual" choice:"real" description:"virtual time in one process, or real time over loopback TCP" default:"virtual"`
	Program  string     `long:"processes" value-name:"PROGRAM" description:"runs each instance as a separate process of this hornbeamstage program; needs --clock real"`
	Faults   string     `long:"faults" value-name:"FILE" description:"faults to apply (TOML)"`
	Format   string     `long:"format" choice:"text" choice:"json" description:"format of the report" default:"text"`
	Load     float64    `long:"load" value-name:"X" description:"multiplies the rate of arrivals" default:"1"`
	Without  trace.Work `long:"without" value-name:"WORK" description:"drops requests of one size: short, normal or long"`
	Outcomes string     `long:"outcomes" value-name:"FILE" description:"stated outcomes; without the option those of the file next to the trace, if any; - for none"`
	CI       bool       `long:"ci" description:"checks only the outcomes that must hold for every seed"`
	Compare  bool       `long:"compare" description:"also plays the comparisons of the outcomes file"`
	Log      bool       `long:"log" description:"writes the instances' log lines to standard error"`
	Counters bool       `long:"counters" description:"writes the sum of the instances' counters to standard error"`
}

// serveOptions are the options of "replay serve".
type serveOptions struct {
	Trace string `long:"trace" value-name:"FILE" description:"trace whose fleet to run" default:"traces/tambuli.jsonl"`
	Log   bool   `long:"log" description:"writes the instances' log lines to standard error"`
}

// makeOptions are the options of "replay make".
type makeOptions struct {
	Workload string `long:"workload" required:"true" value-name:"FILE" description:"stated workload (TOML)"`
	Seed     uint64 `long:"seed" value-name:"N" description:"random seed; the same seed makes the same trace" default:"1"`
	Out      string `long:"out" value-name:"FILE" description:"file to write; standard output without the option"`
}

// readOutcomes reads the stated outcomes. Without the option they come from the
// file next to the trace: faults.outcomes.toml for a replay with faults, else the
// one with the name of the trace. A replay without faults at another load has none
// by default, because those of the trace do not apply to it.
func (o *runOptions) readOutcomes() (out Outcomes, err error) {
	if o.Outcomes == "-" {
		return out, nil
	}
	if o.Outcomes != "" {
		return ReadOutcomes(o.Outcomes)
	}
	name := strings.TrimSuffix(o.Trace, ".jsonl") + ".outcomes.toml"
	if o.Faults != "" {
		name = filepath.Join(filepath.Dir(o.Trace), "faults.outcomes.toml")
	}
	if _, err := os.Stat(name); err != nil || (o.Load != 1 && o.Faults == "") {
		return out, nil
	}
	return ReadOutcomes(name)
}
