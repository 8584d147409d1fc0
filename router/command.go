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

// Exit codes of hornbeamstage.
const (
	ExitOK = 0
	// ExitFailed means that the instance ran and returned an error.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
)

// usesPlatformSettings reports whether the settings file of a hosting platform is
// to be used.
func (c *Command) usesPlatformSettings() bool { return c.Settings == "" && c.PlatformSettings != "" }

// Help is the long description in the output of hornbeamstage --help.
const Help = `Routes language-model traffic from callers to endpoints. All instances run
the same program; the settings state where an instance listens and which failure
domain it is in, and docs/settings.md lists them. All other configuration is
shared by the fleet and is edited with hornbeamctl.

SIGTERM or SIGINT shuts down gracefully: the instance accepts no new requests and
running ones finish. A second signal ends the process at once. SIGHUP reloads the
bounds in a hosting platform's settings; all other settings are read at startup.

Exit codes: 0 stopped, 1 failed, 2 invalid command line or settings.`

// Command holds the command-line options of hornbeamstage.
type Command struct {
	Settings         string `long:"settings" value-name:"FILE" description:"settings file of this instance, TOML"`
	PlatformSettings string `long:"platform-settings" value-name:"FILE" env:"HORNBEAMSTAGE_BOOT" description:"settings file written by a hosting platform, JSON; used without --settings"`
	Check            bool   `long:"check" description:"check the settings and the floor configuration and exit"`

	logs logging.Writer
}

// process is the instance that Command runs: a Router or a Gateway.
type process interface {
	Run(ctx context.Context) error
	Stop()
	// Reload is called on SIGHUP: the settings file may have changed.
	Reload()
}

// Run runs the instance until a stop signal or an error. It returns the exit code.
func (c *Command) Run(ctx context.Context, signals <-chan os.Signal) (code int, err error) {
	build := c.newRouter
	if c.usesPlatformSettings() {
		build = c.newGateway
	}
	p, log, err := build()
	if err != nil {
		return ExitUsage, err
	}
	if c.Check {
		return c.check(p)
	}
	defer c.startLogWriter()()
	if err := runUntilSignal(ctx, p, signals); err != nil {
		log.Error("instance failed", zap.Error(err))
		return ExitFailed, err
	}
	return ExitOK, nil
}

// check checks the files that the settings name. It returns the exit code.
func (c *Command) check(p process) (code int, err error) {
	r, ok := p.(*Router)
	if !ok {
		return ExitOK, nil
	}
	if _, err := r.readFloor(); err != nil {
		return ExitUsage, err
	}
	return ExitOK, nil
}

// logFlushTimeout bounds the wait at exit for an output that blocks.
const logFlushTimeout = 500 * time.Millisecond

// startLogWriter starts the goroutine that writes log lines and returns the function
// that flushes and stops it. The goroutine is abandoned if the output blocks.
func (c *Command) startLogWriter() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { done <- c.logs.Run(ctx) })
	return func() {
		cancel()
		select {
		case <-done:
			wg.Wait()
		case <-time.After(logFlushTimeout):
		}
	}
}

// logger returns a logger that adds the instance's ID to each line.
func (c *Command) logger(s *settings.Settings, id hbs.InstanceID) (*zap.Logger, error) {
	c.logs.Out = os.Stdout
	log, err := logging.New(&c.logs, s.Log.Format, s.Log.Level)
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("instance", string(id))), nil
}

// newRouter returns an instance that is configured by a TOML settings file.
func (c *Command) newRouter() (process, *zap.Logger, error) {
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

// newGateway returns an instance that is configured by a hosting platform's JSON
// settings file.
func (c *Command) newGateway() (process, *zap.Logger, error) {
	b, err := platform.ReadSettings(c.PlatformSettings)
	if err != nil {
		return nil, nil, err
	}
	s := settings.Defaults()
	log, err := c.logger(&s, b.Instance)
	if err != nil {
		return nil, nil, err
	}
	return &gateway.Gateway{
		PlatformSettings: b, PlatformSettingsFile: c.PlatformSettings, Network: network.TCP{}, Log: log, Metrics: metrics.NewRegistry(),
		Knobs: catalog.Knobs(), Meters: catalog.Meters(),
	}, log, nil
}

// runUntilSignal runs p. The first stop signal shuts it down gracefully, the second
// at once.
func runUntilSignal(ctx context.Context, p process, signals <-chan os.Signal) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		defer cancel()
		if waitForStop(ctx, p, signals) {
			p.Stop()
			waitForStop(ctx, p, signals)
		}
	})
	err = p.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// waitForStop reports whether a stop signal arrived before ctx ended. Meanwhile it
// calls p.Reload on each SIGHUP.
func waitForStop(ctx context.Context, p process, signals <-chan os.Signal) bool {
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return true
			}
			p.Reload()
		case <-ctx.Done():
			return false
		}
	}
}
