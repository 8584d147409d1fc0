package console

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
)

// subcommand is a command of hornbeamctl with its one-line help text.
type subcommand struct {
	name, summary string
	command       flags.Commander
}

func (c *Command) commands() []subcommand {
	return []subcommand{
		{"check", "Check a configuration file and print every error with its line; with --platform, also check the endpoints it names", &checkCommand{c: c}},
		{"get", "Print the fleet configuration in the file format that apply reads", &getCommand{c: c}},
		{"diff", "Show what apply would change", &diffCommand{c: c}},
		{"apply", "Check a configuration file and write it to the platform as the fleet configuration", &applyCommand{c: c}},
		{"explain", "Print a knob's effective value, which layer sets it and the reason given", &explainCommand{c: c}},
		{"role", "Print the configured role of an engine, what sets it and the reason given", &roleCommand{c: c}},
		{"status", "Show instances, endpoints and the configuration revision in force in each failure domain", &statusCommand{c: c}},
		{"drain", "Drain an endpoint: send it no new work", &drainCommand{c: c}},
		{"undrain", "End the drain of an endpoint: send it new work again", &undrainCommand{c: c}},
		{"burn", "Show the service-level burn, merged from all instances", &burnCommand{c: c}},
	}
}

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type checkCommand struct {
	c    *Command
	Args fileArg `positional-args:"yes"`
}

// checkReport counts the contents of a valid file.
type checkReport struct {
	File       string `json:"file"`
	Items      int    `json:"items"`
	Workspaces int    `json:"workspaces"`
	Exceptions int    `json:"exceptions"`
	Standbys   int    `json:"standbys"`
}

// Execute implements flags.Commander.
func (x *checkCommand) Execute([]string) error {
	cfg, data, err := x.c.readFile(x.Args.File)
	if err != nil {
		return err
	}
	if err := x.c.checkEndpoints(x.Args.File, data, cfg); err != nil {
		return err
	}
	items, err := cfg.Items()
	if err != nil {
		return err
	}
	return x.c.print(&checkReport{x.Args.File, len(items), len(cfg.Workspaces), len(cfg.Exceptions), len(cfg.Standbys)})
}

func (r *checkReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: valid, %d items, %d workspaces, %d exceptions, %d standbys\n", r.File, r.Items, r.Workspaces, r.Exceptions, r.Standbys)
}

type getCommand struct {
	c *Command
}

// Execute implements flags.Commander.
func (x *getCommand) Execute([]string) error {
	st, err := x.c.readState()
	if err != nil {
		return err
	}
	cfg, errs := config.FromItems(st.items, x.c.Knobs)
	for _, err := range errs {
		fmt.Fprintln(x.c.Stderr, "left out:", err)
	}
	data, err := cfg.Encode(x.c.Knobs)
	if err != nil {
		return err
	}
	return x.c.print(&getReport{st.revision, cfg, append([]byte(st.header()), data...)})
}

// getReport is the configuration and the platform's revision when it was read.
type getReport struct {
	Revision      hbs.Revision   `json:"revision"`
	Configuration *config.Config `json:"configuration"`
	// file is the configuration as a file that apply reads, with its header.
	file []byte
}

func (r *getReport) writeText(w io.Writer) {
	_, _ = w.Write(r.file)
}

type explainCommand struct {
	c         *Command
	Workspace string `long:"workspace" value-name:"ID" description:"scope: this workspace"`
	Model     string `long:"model" value-name:"NAME" description:"scope: this model"`
	Service   string `long:"service" value-name:"NAME" description:"scope: this service"`
	Domain    string `long:"domain" value-name:"NAME" description:"scope: this failure domain"`
	File      string `long:"file" value-name:"FILE" description:"read this file instead of the platform's configuration"`
	Args      struct {
		Key string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// explainReport is a knob's value in one scope and where it comes from.
type explainReport struct {
	config.Explanation
	// Shown is the value formatted in the knob's unit.
	Shown any `json:"shown"`
}

// Execute implements flags.Commander.
func (x *explainCommand) Execute([]string) error {
	cfg, err := x.c.config(x.File)
	if err != nil {
		return err
	}
	scope := hbs.Scope{Workspace: hbs.WorkspaceID(x.Workspace), Model: hbs.ModelName(x.Model),
		Service: hbs.ServiceName(x.Service), Domain: hbs.DomainName(x.Domain)}
	e, known := cfg.Explain(hbs.KnobKey(x.Args.Key), scope, x.c.Knobs)
	if !known {
		return exitErrorf(ExitNotFound, "unknown knob %q", x.Args.Key)
	}
	return x.c.print(&explainReport{e, config.FormatValue(e.Value, e.Knob.Unit)})
}

// config reads the configuration from file, or from the platform if file is
// empty. Items of the platform that can't be decoded are skipped.
func (c *Command) config(file string) (*config.Config, error) {
	if file != "" {
		cfg, _, err := c.readFile(file)
		return cfg, err
	}
	st, err := c.readState()
	if err != nil {
		return nil, err
	}
	cfg, _ := config.FromItems(st.items, c.Knobs)
	return cfg, nil
}

func (r *explainReport) writeText(w io.Writer) {
	k := r.Knob
	fmt.Fprintf(w, "%s = %v\n  %s\n  %s\n", k.Key, r.Shown, k.Title, k.Text)
	fmt.Fprintf(w, "  unit %s, range %v to %v, built-in default %v\n", k.Unit,
		config.FormatValue(k.Min, k.Unit), config.FormatValue(k.Max, k.Unit), config.FormatValue(k.Default, k.Unit))
	fmt.Fprintf(w, "  set by: %s\n", r.Layer)
	if e := r.Exception; e != nil {
		fmt.Fprintf(w, "  scope: workspace %q, model %q, service %q, domain %q\n  reason: %s\n", e.Workspace, e.Model, e.Service, e.Domain, e.Reason)
		if !e.Expires.IsZero() {
			fmt.Fprintf(w, "  expires: %s\n", e.Expires)
		}
	}
}
