package router

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/catalog"
	"github.com/hornbeamstage/hornbeamstage/gateway"
	"github.com/hornbeamstage/hornbeamstage/logging"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
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

// hosted reports whether a hosting platform's settings are to be used.
func (c *Command) hosted() bool { return c.Settings == "" && c.Boot != "" }

// Help is the long text of hornbeamstage --help.
const Help = `Routes language-model traffic from callers to endpoints. All instances run
this program alike; settings say where the instance listens and which failure
domain it is in, docs/settings.md lists them. All other configuration belongs
to the fleet and is edited with hornbeamctl.

SIGTERM or SIGINT stops gracefully: no new requests, running ones end. A second
signal ends at once. SIGHUP reads the bounds in a hosting platform's settings
again; all other settings are read at the start.

Exit codes: 0 stopped, 1 failed, 2 wrong command line or settings.`

// Command is the command line of hornbeamstage.
type Command struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file of this instance, TOML"`
	Boot     string `long:"platform-settings" value-name:"FILE" env:"HORNBEAMSTAGE_BOOT" description:"settings file that a hosting platform writes, JSON; used without --settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`

	logs logging.Writer
}

// process is an instance of either kind.
type process interface {
	Run(ctx context.Context) error
	Stop()
	// Reload tells that the settings file may have changed.
	Reload()
}

// Run runs the router until a stop signal or an error.
func (c *Command) Run(ctx context.Context, stops <-chan os.Signal) (code int, err error) {
	build := c.router
	if c.hosted() {
		build = c.gateway
	}
	p, log, err := build()
	if err != nil {
		return ExitUsage, err
	}
	if c.Check {
		return ExitOK, nil
	}
	defer c.writeLogs()()
	if err := runUntil(ctx, p, stops); err != nil {
		log.Error("instance failed", zap.Error(err))
		return ExitFailed, err
	}
	return ExitOK, nil
}

// flushWait bounds the wait for an output that takes no more lines at the end.
const flushWait = 500 * time.Millisecond

// writeLogs starts to write log lines and returns the function that ends it. It
// leaves the writer behind when the output is stuck.
func (c *Command) writeLogs() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { ended <- c.logs.Run(ctx) })
	return func() {
		cancel()
		select {
		case <-ended:
			wg.Wait()
		case <-time.After(flushWait):
		}
	}
}

// logger returns a logger for the instance called id.
func (c *Command) logger(s *settings.Settings, id hbs.InstanceID) (*zap.Logger, error) {
	c.logs.Out = os.Stdout
	log, err := logging.New(&c.logs, s.Log.Format, s.Log.Level)
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("instance", string(id))), nil
}

// router returns an instance with settings of its own.
func (c *Command) router() (process, *zap.Logger, error) {
	if c.Settings == "" {
		return nil, nil, errors.New("neither --settings nor --platform-settings is given")
	}
	s, err := settings.Read(c.Settings)
	if err != nil {
		return nil, nil, err
	}
	log, err := c.logger(&s, s.Instance.ID)
	if err != nil {
		return nil, nil, err
	}
	return &Router{Settings: s, Network: network.TCP{}, Log: log, Metrics: metrics.NewRegistry()}, log, nil
}

// gateway returns an instance with a hosting platform's settings.
func (c *Command) gateway() (process, *zap.Logger, error) {
	b, err := platform.ReadBoot(c.Boot)
	if err != nil {
		return nil, nil, err
	}
	s := settings.Defaults()
	log, err := c.logger(&s, b.Instance)
	if err != nil {
		return nil, nil, err
	}
	return &gateway.Gateway{
		Boot: b, BootFile: c.Boot, Network: network.TCP{}, Log: log, Metrics: metrics.NewRegistry(),
		Knobs: catalog.Knobs(), Meters: catalog.Meters(),
	}, log, nil
}

// runUntil stops r gracefully at the first signal and at once at the second.
func runUntil(ctx context.Context, r process, stops <-chan os.Signal) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		defer cancel()
		if waitStop(ctx, r, stops) {
			r.Stop()
			waitStop(ctx, r, stops)
		}
	})
	err = r.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// waitStop waits for a signal to stop and passes those to reload on.
func waitStop(ctx context.Context, r process, stops <-chan os.Signal) bool {
	for {
		select {
		case sig := <-stops:
			if sig != syscall.SIGHUP {
				return true
			}
			r.Reload()
		case <-ctx.Done():
			return false
		}
	}
}
