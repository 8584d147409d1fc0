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
		return failed(ExitDiffers, "%d items differ", len(changes))
	}
	return nil
}

func (r *diffReport) writeText(w io.Writer) { writeChanges(w, r.Changes) }

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
	Limit   time.Duration `long:"limit" default:"30s" description:"longest wait"`
	Replace bool          `long:"replace" description:"take a file without a revision header, over whatever the platform has now"`
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
	edited, ok := readBase(data)
	if x.Replace {
		edited, ok = base{revision: st.revision}, true
	}
	if !ok && len(st.items) > 0 {
		return failed(ExitUsage, "%s has no line %q; edit a file made by get, or give --replace", x.Args.File, revisionHeader+"N")
	}
	if err := x.c.checkEndpoints(x.Args.File, data, cfg); err != nil {
		return err
	}
	changes, err := compare(st, cfg)
	if err != nil {
		return err
	}
	r := applyReport{Written: []change{}}
	err = x.c.write(&r, changes, edited)
	if printErr := x.c.print(&r); printErr != nil {
		return printErr
	}
	if err != nil || !x.Wait {
		return err
	}
	return x.c.waitInForce(x.Limit)
}
