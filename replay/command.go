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
	// Start makes router instances.
	Start  Starter
	Out    io.Writer
	Errors io.Writer
}

// Run runs the program with its arguments and returns the exit code. It may
// end the process itself: virtual time needs that, see Enter.
func (c *Command) Run(args []string) (code int) {
	var run runOptions
	var serve serveOptions
	var make makeOptions
	p := flags.NewNamedParser("replay", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Plays recorded traces against the router and small stand-ins in one process. " +
		"Exit codes: 0 all stated outcomes met, 1 one was missed, 2 wrong usage, 3 the replay failed."
	c.add(p, "run", "Play a trace and check its stated outcomes", &run)
	c.add(p, "serve", "Keep the stand-ins and a fleet up on loopback", &serve)
	c.add(p, "make", "Write a trace from a stated workload", &make)
	if _, err := p.ParseArgs(args); err != nil {
		return c.usage(err)
	}
	switch p.Active.Name {
	case "run":
		return c.enter(&run)
	case "serve":
		return c.ends(c.serve(&serve))
	}
	return c.ends(c.make(&make))
}

func (c *Command) add(p *flags.Parser, name, text string, options any) {
	if _, err := p.AddCommand(name, text, text+".", options); err != nil {
		panic(err) // only for a mistake in the options' tags
	}
}

func (c *Command) usage(err error) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(c.Out, err)
		return ExitMet
	}
	fmt.Fprintln(c.Errors, err)
	return ExitUsage
}

func (c *Command) ends(err error) int {
	if err != nil {
		fmt.Fprintln(c.Errors, err)
		return ExitFailed
	}
	return ExitMet
}

// enter plays in real time here, in virtual time inside Enter.
func (c *Command) enter(o *runOptions) (code int) {
	if Clock(o.Clock) == ClockReal {
		return c.run(o, func(f func()) { f() })
	}
	Enter(func(t *testing.T) int {
		return c.run(o, func(f func()) { Bubble(t, f) })
	})
	return ExitFailed // not reached
}

// run plays the trace and then its comparisons; in calls a function in the
// chosen clock.
func (c *Command) run(o *runOptions, in func(f func())) (code int) {
	missed, err := c.play(o, in)
	if err != nil {
		return c.ends(err)
	}
	if missed > 0 {
		return ExitMissed
	}
	return ExitMet
}

func (c *Command) play(o *runOptions, in func(f func())) (missed int, err error) {
	t, err := trace.ReadFile(o.Trace)
	if err != nil {
		return 0, err
	}
	outcomes, err := o.outcomes()
	if err != nil {
		return 0, err
	}
	reports, err := c.seeds(t, o, in)
	if err != nil {
		return 0, err
	}
	own, err := c.sum(reports)
	if err != nil {
		return 0, err
	}
	if err := c.write(own, o.Format); err != nil {
		return 0, err
	}
	verdicts, err := outcomes.Check(own, o.CI)
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
	return c.verdicts(verdicts), nil
}

// one plays one replay.
func (c *Command) one(t *trace.Trace, o *runOptions, in func(f func())) (rep *Report, err error) {
	r := &Replay{
		Trace:   t,
		Start:   c.Start,
		Policy:  o.Policy,
		Seed:    o.Seed,
		Clock:   Clock(o.Clock),
		Load:    o.Load,
		Without: o.Without,
		Log:     c.log(o.Log),
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
		// A signal has to end processes of their own too. It can't reach a bubble.
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

// useProgram lets r start processes until done.
func (c *Command) useProgram(r *Replay, o *runOptions) (done func(), err error) {
	defer func() { err = errors.Wrap(err, "processes") }()
	if r.Clock != ClockReal || o.Counters || o.Policy != router.FleetPolicy {
		return nil, errors.New("need --clock real and the fleet's own policy, and can't count in one place")
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

func (c *Command) write(r *Report, format string) error {
	if format == "json" {
		return r.WriteJSON(c.Out)
	}
	return r.WriteText(c.Out)
}

// verdicts prints each outcome and returns how many were missed. They go to
// the error stream so that a JSON report stays whole.
func (c *Command) verdicts(verdicts []Verdict) (missed int) {
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

func (c *Command) log(on bool) *zap.Logger {
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

func (c *Command) make(o *makeOptions) (err error) {
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
