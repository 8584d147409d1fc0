package console

import (
	"fmt"
	"io"
	"time"
)

type diffCommand struct {
	c    *Command
	Args fileArg `positional-args:"yes"`
}

// diffReport lists the changes that apply would write.
type diffReport struct {
	Changes []change `json:"changes"`
}

// Execute implements flags.Commander.
func (x *diffCommand) Execute([]string) error {
	cfg, data, err := x.c.readFile(x.Args.File)
	if err != nil {
		return err
	}
	st, err := x.c.readState()
	if err != nil {
		return err
	}
	if err := x.c.checkEndpoints(x.Args.File, data, cfg); err != nil {
		return err
	}
	changes, err := compare(st, cfg)
	if err != nil {
		return err
	}
	if err := x.c.print(&diffReport{changes}); err != nil {
		return err
	}
	if len(changes) > 0 {
		return exitErrorf(ExitDiffers, "%d items differ from the platform's configuration", len(changes))
	}
	return nil
}

func (r *diffReport) writeText(w io.Writer) { writeChanges(w, r.Changes) }

// writeChanges prints each change with its old value (-) and its new one (+).
func writeChanges(w io.Writer, changes []change) {
	for _, ch := range changes {
		fmt.Fprintf(w, "%s %s\n", ch.Kind, ch.Name)
		if ch.Platform != nil {
			fmt.Fprintf(w, "  - %s\n", ch.Platform)
		}
		if ch.File != nil {
			fmt.Fprintf(w, "  + %s\n", ch.File)
		}
	}
}

type applyCommand struct {
	c       *Command
	Wait    bool          `long:"wait" description:"wait until the configuration is in force on all instances"`
	Limit   time.Duration `long:"limit" default:"30s" description:"time limit of --wait"`
	Replace bool          `long:"replace" description:"replace the platform's current configuration; the file needs no revision header"`
	Args    fileArg       `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (x *applyCommand) Execute([]string) error {
	cfg, data, err := x.c.readFile(x.Args.File)
	if err != nil {
		return err
	}
	st, err := x.c.readState()
	if err != nil {
		return err
	}
	base, ok := parseHeader(data)
	if x.Replace {
		base, ok = baseState{revision: st.revision}, true
	}
	if !ok && len(st.items) > 0 {
		return exitErrorf(ExitUsage, "%s does not start with the line %q; edit a file written by get, or use --replace", x.Args.File, revisionHeader+"N")
	}
	if err := x.c.checkEndpoints(x.Args.File, data, cfg); err != nil {
		return err
	}
	changes, err := compare(st, cfg)
	if err != nil {
		return err
	}
	r := applyReport{Written: []change{}}
	err = x.c.applyChanges(&r, changes, base)
	if printErr := x.c.print(&r); printErr != nil {
		return printErr
	}
	if err != nil || !x.Wait {
		return err
	}
	return x.c.waitInForce(x.Limit)
}
