package replay

import (
	"os"
	"testing"
	"testing/synctest"
)

// RunWithT calls f, outside of tests, with a *testing.T that Bubble accepts, and
// exits the process with the code that f returns.
//
// testing/synctest requires a *testing.T, which testing.Main creates in an ordinary
// program. testing.Main parses the command line for its own flags, so the program
// must have parsed its arguments before; RunWithT removes them.
func RunWithT(f func(t *testing.T) (code int)) {
	os.Args = os.Args[:1]
	match := func(string, string) (bool, error) { return true, nil }
	testing.Main(match, []testing.InternalTest{{
		Name: "replay",
		F:    func(t *testing.T) { os.Exit(f(t)) },
	}}, nil, nil)
}

// Bubble runs f in virtual time, in a testing/synctest bubble.
func Bubble(t *testing.T, f func()) {
	synctest.Test(t, func(*testing.T) { f() })
}
