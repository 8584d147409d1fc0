package console

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
)

// Exit is the exit code of hornbeamctl.
type Exit int

// The exit codes. Exits describes each.
const (
	ExitOK          Exit = 0
	ExitFailed      Exit = 1
	ExitUsage       Exit = 2
	ExitInvalid     Exit = 3
	ExitConflict    Exit = 4
	ExitPlatform    Exit = 5
	ExitUncertain   Exit = 6
	ExitNotFound    Exit = 7
	ExitWaitTimeout Exit = 8
	ExitPartial     Exit = 9
	ExitDiffers     Exit = 10
)

// ExitInfo documents one exit code.
type ExitInfo struct {
	Exit Exit
	Text string
}

// ExitCodes describes all exit codes, in the help and on the operators' page.
var ExitCodes = []ExitInfo{
	{ExitOK, "done"},
	{ExitFailed, "another error; the message tells"},
	{ExitUsage, "wrong command line"},
	{ExitInvalid, "the file has errors, each printed as file:line: text; nothing was written"},
	{ExitConflict, "somebody else changed the same items; both versions are printed"},
	{ExitPlatform, "the platform does not answer or refuses; nothing more was written"},
	{ExitUncertain, "the platform's answer to a write was lost; run the command again"},
	{ExitNotFound, "no such key, endpoint or object"},
	{ExitWaitTimeout, "written, but not in force everywhere within the limit"},
	{ExitPartial, "the report lacks instances that did not answer; they are named"},
	{ExitDiffers, "diff found differences"},
}

// exitError is an error with a specific exit code.
type exitError struct {
	error
	exit Exit
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.error }

// exitErrorf returns a formatted error with the given exit code.
func exitErrorf(exit Exit, format string, args ...any) error {
	return &exitError{errors.Newf(format, args...), exit}
}

// exitCode returns the exit code for err.
func exitCode(err error) Exit {
	var exitErr *exitError
	var faults *config.FaultsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exitErr):
		return exitErr.exit
	case errors.As(err, &faults):
		return ExitInvalid
	case errors.Is(err, hbs.ErrConflict):
		return ExitConflict
	case errors.Is(err, hbs.ErrNotFound):
		return ExitNotFound
	case errors.Is(err, hbs.ErrUncertain):
		return ExitUncertain
	case errors.Is(err, hbs.ErrNotApplied):
		return ExitPlatform
	}
	return ExitFailed
}

// exitHelp returns the list of exit codes for the help text.
func exitHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for _, e := range ExitCodes {
		fmt.Fprintf(&b, "  %2d  %s\n", e.Exit, e.Text)
	}
	return b.String()
}
