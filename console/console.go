// Package console implements hornbeamctl, the operators' command-line tool.
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

// The output formats. Only burn supports svg.
const (
	formatText = "text"
	formatJSON = "json"
	formatSVG  = "svg"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// callsPerSecond limits reads and, separately, writes to the platform.
	callsPerSecond = 100
)

// Command is one invocation of hornbeamctl.
type Command struct {
	// Args are the arguments without the program's name.
	Args           []string
	Stdout, Stderr io.Writer
	Network        hbs.Network
	// Knobs are the knobs that a configuration may set.
	Knobs []hbs.Knob

	options     options
	platform    hbs.Platform
	credentials tlsCredentials
	ctx         context.Context
}

type options struct {
	Platform string `long:"platform" value-name:"IP:PORT" env:"HORNBEAMSTAGE_PLATFORM" description:"address of the platform's object API"`
	// Instances are the addresses of the instances to query. If it is empty, the
	// instances that the platform lists are queried.
	Instances []string `long:"instance" value-name:"IP:PORT" env:"HORNBEAMSTAGE_INSTANCES" env-delim:"," description:"address of an instance's operators' listener, for status, burn and apply --wait; may be repeated; replaces the platform's list of instances"`

	tlsOptions

	Format string `long:"format" choice:"text" choice:"json" choice:"svg" default:"text" description:"output format; svg for burn only"`
}

// Run parses Args, executes the subcommand and returns the exit code.
func (c *Command) Run(ctx context.Context) Exit {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.ctx = ctx
	parser := c.parser(func(client *platform.Client) {
		wg.Go(func() { _ = client.Run(ctx) })
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
	if asFlagsError(err, &usage) {
		return ExitUsage
	}
	return exitCode(err)
}

// asFlagsError reports whether err itself, unwrapped, is an error of the command
// line, and stores it in target.
func asFlagsError(err error, target **flags.Error) bool {
	e, ok := err.(*flags.Error)
	*target = e
	return ok
}

// parser returns the command-line parser. It connects to the platform before it
// executes a subcommand; start runs the platform's client in the background.
func (c *Command) parser(start func(*platform.Client)) *flags.Parser {
	parser := flags.NewNamedParser("hornbeamctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &c.options); err != nil {
		panic(err) // invalid struct tags in options
	}
	parser.LongDescription = "Edits and shows the fleet configuration, instances, endpoints and service-level burn.\n\n" + exitHelp()
	for _, sub := range c.commands() {
		if _, err := parser.AddCommand(sub.name, sub.summary, sub.summary+".", sub.command); err != nil {
			panic(err) // invalid struct tags or a duplicate name in commands
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

// connect loads the TLS credentials and, if --platform is given, creates and
// starts the platform's client. Without it c.platform stays nil, and commands that
// need the platform fail in requirePlatform.
func (c *Command) connect(start func(*platform.Client)) (err error) {
	c.credentials, err = c.options.load()
	if err != nil {
		return err
	}
	if c.options.Platform == "" {
		return nil
	}
	addr, err := netip.ParseAddrPort(c.options.Platform)
	if err != nil {
		return exitErrorf(ExitUsage, "--platform: %v", err)
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

// requirePlatform returns a usage error if no platform address was given.
func (c *Command) requirePlatform() error {
	if c.platform == nil {
		return exitErrorf(ExitUsage, "this command needs --platform or HORNBEAMSTAGE_PLATFORM; status and burn also work with --instance alone")
	}
	return nil
}

// readFile reads and validates a configuration file. It also returns the bytes of
// the file, for its header and for line numbers.
func (c *Command) readFile(name string) (*config.Config, []byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, exitErrorf(ExitUsage, "%v", err)
	}
	cfg, err := config.Decode(name, data, c.Knobs)
	return cfg, data, err
}

// report is the result of a command. It is also encoded as JSON.
type report interface {
	writeText(w io.Writer)
}

// print writes r to Stdout in the chosen format.
func (c *Command) print(r report) error {
	switch c.options.Format {
	case formatJSON:
		e := json.NewEncoder(c.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(r)
	case formatSVG:
		return exitErrorf(ExitUsage, "--format svg is for burn only")
	}
	r.writeText(c.Stdout)
	return nil
}
