package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/router"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// Exit codes of the replay program.
const (
	ExitMet    = 0
	ExitMissed = 1
	ExitUsage  = 2
	ExitFailed = 3
)

// Command is the replay program.
type Command struct {
	// Start creates router instances.
	Start  Starter
	Out    io.Writer
	Errors io.Writer
}

// Run runs the program with its arguments and returns the exit code. With the
// virtual clock it exits the process itself, see RunWithT.
func (c *Command) Run(args []string) (code int) {
	var run runOptions
	var serve serveOptions
	var make makeOptions
	p := flags.NewNamedParser("replay", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Plays recorded traces against the router and small stand-ins in one process. " +
		"Exit codes: 0 all stated outcomes met, 1 one was missed, 2 wrong usage, 3 the replay failed."
	c.addCommand(p, "run", "Play a trace and check its stated outcomes", &run)
	c.addCommand(p, "serve", "Run the stand-ins and a fleet on loopback until a signal", &serve)
	c.addCommand(p, "make", "Write a trace from a stated workload", &make)
	if _, err := p.ParseArgs(args); err != nil {
		return c.usageError(err)
	}
	switch p.Active.Name {
	case "run":
		return c.runWithClock(&run)
	case "serve":
		return c.exitCode(c.serve(&serve))
	}
	return c.exitCode(c.makeTrace(&make))
}

func (c *Command) addCommand(p *flags.Parser, name, text string, options any) {
	if _, err := p.AddCommand(name, text, text+".", options); err != nil {
		panic(err) // the tags of options are invalid
	}
}

func (c *Command) usageError(err error) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(c.Out, err)
		return ExitMet
	}
	fmt.Fprintln(c.Errors, err)
	return ExitUsage
}

func (c *Command) exitCode(err error) int {
	if err != nil {
		fmt.Fprintln(c.Errors, err)
		return ExitFailed
	}
	return ExitMet
}

// runWithClock runs the replay directly with the real clock, and inside RunWithT
// with the virtual clock.
func (c *Command) runWithClock(o *runOptions) (code int) {
	if Clock(o.Clock) == ClockReal {
		return c.run(o, func(f func()) { f() })
	}
	RunWithT(func(t *testing.T) int {
		return c.run(o, func(f func()) { Bubble(t, f) })
	})
	return ExitFailed // not reached
}

// run plays the trace and then its comparisons. in calls a function under the
// chosen clock.
func (c *Command) run(o *runOptions, in func(f func())) (code int) {
	missed, err := c.runAndCheck(o, in)
	if err != nil {
		return c.exitCode(err)
	}
	if missed > 0 {
		return ExitMissed
	}
	return ExitMet
}

func (c *Command) runAndCheck(o *runOptions, in func(f func())) (missed int, err error) {
	t, err := trace.ReadFile(o.Trace)
	if err != nil {
		return 0, err
	}
	outcomes, err := o.readOutcomes()
	if err != nil {
		return 0, err
	}
	reports, err := c.runSeeds(t, o, in)
	if err != nil {
		return 0, err
	}
	rep, err := c.summarize(reports)
	if err != nil {
		return 0, err
	}
	if err := c.writeReport(rep, o.Format); err != nil {
		return 0, err
	}
	verdicts, err := outcomes.Check(rep, o.CI)
	if err != nil {
		return 0, err
	}
	if o.Compare {
		more, err := c.compare(t, o, in, &outcomes, reports)
		if err != nil {
			return 0, err
		}
		verdicts = append(verdicts, more...)
	}
	return c.printVerdicts(verdicts), nil
}

// runSeed plays one replay with the seed of o.
func (c *Command) runSeed(t *trace.Trace, o *runOptions, in func(f func())) (rep *Report, err error) {
	r := &Replay{
		Trace:   t,
		Start:   c.Start,
		Policy:  o.Policy,
		Seed:    o.Seed,
		Clock:   Clock(o.Clock),
		Load:    o.Load,
		Without: o.Without,
		Log:     c.newLogger(o.Log),
	}
	if o.Faults != "" {
		if r.Faults, err = ReadFaults(o.Faults); err != nil {
			return nil, err
		}
	}
	if o.Program != "" {
		done, err := c.useProgram(r, o)
		if err != nil {
			return nil, err
		}
		defer done()
	}
	if o.Counters {
		counters := metrics.NewRegistry()
		r.Start = countingStarter(counters)
		defer func() { writeCounters(c.Errors, counters) }()
	}
	start := time.Now()
	ctx := context.Background()
	if r.Clock == ClockReal {
		// A signal must also end the instances that run as processes. Signals
		// can't be delivered inside a bubble.
		var cancel context.CancelFunc
		ctx, cancel = signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer cancel()
	}
	in(func() { rep, err = r.Run(ctx) })
	if err != nil {
		return nil, err
	}
	rep.WallSeconds = time.Since(start).Seconds()
	return rep, nil
}

// useProgram makes r start its instances as processes. done removes their settings
// files.
func (c *Command) useProgram(r *Replay, o *runOptions) (done func(), err error) {
	defer func() { err = errors.Wrap(err, "processes") }()
	if r.Clock != ClockReal || o.Counters || o.Policy != router.FleetPolicy {
		return nil, errors.New("--processes needs --clock real and --policy fleet, and can't be combined with --counters")
	}
	dir, err := os.MkdirTemp("", "replay")
	if err != nil {
		return nil, err
	}
	p := &Program{Path: o.Program, Dir: dir}
	if o.Log {
		p.Output = c.Errors
	}
	r.Start = p.Start
	return func() { _ = os.RemoveAll(dir) }, nil
}

func (c *Command) writeReport(r *Report, format string) error {
	if format == "json" {
		return r.WriteJSON(c.Out)
	}
	return r.WriteText(c.Out)
}

// printVerdicts prints each outcome and returns how many were missed. It writes to
// the error stream, so that standard output holds nothing but the report.
func (c *Command) printVerdicts(verdicts []Verdict) (missed int) {
	for _, v := range verdicts {
		word := "met"
		if !v.Met {
			word = "MISSED"
			missed++
		}
		fmt.Fprintf(c.Errors, "outcome %s: %s is %s, want %s\n", word, v.Name, v.value(), v.Want)
	}
	return missed
}

func (c *Command) newLogger(on bool) *zap.Logger {
	cfg := zap.NewDevelopmentConfig()
	cfg.DisableStacktrace = true
	if !on {
		cfg.Level = zap.NewAtomicLevelAt(zap.FatalLevel)
	}
	log, err := cfg.Build()
	if err != nil {
		return zap.NewNop()
	}
	return log
}

func (c *Command) makeTrace(o *makeOptions) (err error) {
	w, err := trace.ReadWorkload(o.Workload)
	if err != nil {
		return err
	}
	t := trace.Make(w, o.Seed)
	if o.Out == "" {
		return t.Write(c.Out)
	}
	var b bytes.Buffer
	if err := t.Write(&b); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(o.Out, b.Bytes(), 0o644), "write trace")
}
