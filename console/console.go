// Package console is the operators' command line, hornbeamctl.
package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// The forms of output. Command burn has svg besides.
const (
	formatText = "text"
	formatJSON = "json"
	formatSVG  = "svg"
)

const (
	platformTimeout = 2 * time.Second
	callsPerSecond  = 100
)

// Command is one run of hornbeamctl.
type Command struct {
	// Args are the arguments without the program's name.
	Args           []string
	Stdout, Stderr io.Writer
	Network        hbs.Network
	// Knobs are all known knobs.
	Knobs []hbs.Knob

	options  options
	platform hbs.Platform
	keys     keys
	ctx      context.Context
}

type options struct {
	Platform string `long:"platform" value-name:"IP:PORT" env:"HORNBEAMSTAGE_PLATFORM" description:"address of the platform's object API"`
	// Instances are asked in place of those that the platform lists.
	Instances []string `long:"instance" value-name:"IP:PORT" env:"HORNBEAMSTAGE_INSTANCES" env-delim:"," description:"operators' address of an instance for status, burn and apply --wait, in place of the platform's list; repeat it for more"`

	keyOptions

	Format string `long:"format" choice:"text" choice:"json" choice:"svg" default:"text" description:"form of the output; svg for burn only"`
}

// Run runs the command and returns the exit code.
func (c *Command) Run(ctx context.Context) Exit {
	var running conc.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.ctx = ctx
	parser := c.parser(func(client *platform.Client) {
		running.Go(func() { _ = client.Run(ctx) })
	})
	_, err := parser.ParseArgs(c.Args)
	if err == nil {
		return ExitOK
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(c.Stdout, err)
		return ExitOK
	}
	fmt.Fprintln(c.Stderr, err)
	var usage *flags.Error
	if asFlags(err, &usage) {
		return ExitUsage
	}
	return exitOf(err)
}

func asFlags(err error, target **flags.Error) bool {
	e, ok := err.(*flags.Error)
	*target = e
	return ok
}

func (c *Command) parser(start func(*platform.Client)) *flags.Parser {
	parser := flags.NewNamedParser("hornbeamctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &c.options); err != nil {
		panic(err) // the struct's tags are wrong
	}
	parser.LongDescription = "Edits and shows the fleet configuration, instances, endpoints and service-level burn.\n\n" + exitHelp()
	for _, sub := range c.commands() {
		if _, err := parser.AddCommand(sub.name, sub.short, sub.short+".", sub.command); err != nil {
			panic(err) // the table of commands is wrong
		}
	}
	parser.CommandHandler = func(cmd flags.Commander, args []string) error {
		if cmd == nil {
			return nil
		}
		if err := c.connect(start); err != nil {
			return err
		}
		return cmd.Execute(args)
	}
	return parser
}

// connect reads the keys and makes the platform's client when an address is
// given. Commands that need none run without.
func (c *Command) connect(start func(*platform.Client)) (err error) {
	c.keys, err = c.options.read()
	if err != nil {
		return err
	}
	if c.options.Platform == "" {
		return nil
	}
	addr, err := netip.ParseAddrPort(c.options.Platform)
	if err != nil {
		return failed(ExitUsage, "--platform: %v", err)
	}
	client := &platform.Client{
		Address:         addr,
		Network:         c.Network,
		Timeout:         platformTimeout,
		ReadsPerSecond:  callsPerSecond,
		WritesPerSecond: callsPerSecond,
		Policy:          knob.NewFixed(platform.Knobs),
		Metrics:         metrics.NewRegistry(),
	}
	start(client)
	c.platform = client
	return nil
}

func (c *Command) needPlatform() error {
	if c.platform == nil {
		return failed(ExitUsage, "this command needs --platform or HORNBEAMSTAGE_PLATFORM; status and burn can do with --instance")
	}
	return nil
}

// readFile reads and checks a configuration file.
func (c *Command) readFile(name string) (*config.Config, []byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, failed(ExitUsage, "%v", err)
	}
	cfg, err := config.Decode(name, data, c.Knobs)
	return cfg, data, err
}

// report is what a command found out.
type report interface {
	writeText(w io.Writer)
}

// print writes r in the chosen form.
func (c *Command) print(r report) error {
	switch c.options.Format {
	case formatJSON:
		e := json.NewEncoder(c.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(r)
	case formatSVG:
		return failed(ExitUsage, "--format svg is for burn only")
	}
	r.writeText(c.Stdout)
	return nil
}
