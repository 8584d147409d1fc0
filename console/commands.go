package console

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
)

// subcommand is one row of the table of commands.
type subcommand struct {
	name, short string
	command     flags.Commander
}

func (c *Command) commands() []subcommand {
	return []subcommand{
		{"check", "Check a configuration file and print every error with its line; with --platform the endpoints that it names too", &checkCommand{c: c}},
		{"get", "Print the fleet configuration as a file that apply takes back", &getCommand{c: c}},
		{"diff", "Show what apply would change", &diffCommand{c: c}},
		{"apply", "Check a file and make it the fleet configuration", &applyCommand{c: c}},
		{"explain", "Print a knob's value in force, what set it and why", &explainCommand{c: c}},
		{"role", "Print the role that an engine shall have, what set it and why", &roleCommand{c: c}},
		{"status", "Show instances, endpoints and the configuration in force by domain", &statusCommand{c: c}},
		{"drain", "Keep new work off an endpoint", &drainCommand{c: c}},
		{"undrain", "Give an endpoint new work again", &undrainCommand{c: c}},
		{"burn", "Show the service-level burn of all instances together", &burnCommand{c: c}},
	}
}

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type checkCommand struct {
	c    *Command
	Args fileArg `positional-args:"yes"`
}

// checkReport counts what a good file holds.
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
	fmt.Fprintf(w, "%s: good, %d items, %d workspaces, %d exceptions, %d standbys\n", r.File, r.Items, r.Workspaces, r.Exceptions, r.Standbys)
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
	cfg, faults := config.FromItems(st.items, x.c.Knobs)
	for _, err := range faults {
		fmt.Fprintln(x.c.Stderr, "left out:", err)
	}
	data, err := cfg.Encode(x.c.Knobs)
	if err != nil {
		return err
	}
	return x.c.print(&getReport{st.revision, cfg, append([]byte(st.header()), data...)})
}

// getReport is the configuration and the revision of the store it was read at.
type getReport struct {
	Revision      hbs.Revision   `json:"revision"`
	Configuration *config.Config `json:"configuration"`
	file          []byte
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
	File      string `long:"file" value-name:"FILE" description:"explain a file instead of the platform's configuration"`
	Args      struct {
		Key string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

type explainReport struct {
	config.Explanation
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
		return failed(ExitNotFound, "knob %q is not known", x.Args.Key)
	}
	return x.c.print(&explainReport{e, config.FormatValue(e.Value, e.Knob.Unit)})
}

// config reads a file, or the platform's configuration without one.
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
