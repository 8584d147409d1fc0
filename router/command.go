package router

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

// The exit codes of hornbeamstage.
const (
	ExitOK = 0
	// ExitFailed: the router started and ended with an error.
	ExitFailed = 1
	// ExitUsage: the command line or the settings are wrong.
	ExitUsage = 2
)

// Help is the long text of hornbeamstage --help.
const Help = `Routes language-model traffic from callers to endpoints. All instances run
this program alike; settings say where the instance listens and which failure
domain it is in, docs/settings.md lists them. All other configuration belongs
to the fleet and is edited with hornbeamctl.

SIGTERM or SIGINT stops gracefully: no new requests, running ones end. A second
signal ends at once.

Exit codes: 0 stopped, 1 failed, 2 wrong command line or settings.`

// Command is the command line of hornbeamstage.
type Command struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file of this instance, TOML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Run runs the router until a stop signal or an error.
func (c *Command) Run(ctx context.Context, stops <-chan os.Signal) (code int, err error) {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return ExitUsage, err
	}
	if c.Check {
		return ExitOK, nil
	}
	log, err := newLogger(&s)
	if err != nil {
		return ExitUsage, err
	}
	// Sync fails on terminals, where nothing is buffered.
	defer func() { _ = log.Sync() }()
	r := &Router{
		Settings: s,
		Network:  network.TCP{},
		Log:      log,
		Metrics:  metrics.NewRegistry(),
	}
	if err := runUntil(ctx, r, stops); err != nil {
		return ExitFailed, err
	}
	return ExitOK, nil
}

// runUntil stops r gracefully at the first signal and at once at the second.
func runUntil(ctx context.Context, r *Router, stops <-chan os.Signal) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		defer cancel()
		if waitSignal(ctx, stops) {
			r.Stop()
			waitSignal(ctx, stops)
		}
	})
	err = r.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func waitSignal(ctx context.Context, stops <-chan os.Signal) bool {
	select {
	case <-stops:
		return true
	case <-ctx.Done():
		return false
	}
}
