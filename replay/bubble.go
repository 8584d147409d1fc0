package replay

import (
	"os"
	"testing"
	"testing/synctest"
)

// Enter runs f outside tests in a place from which Bubble can be called, and
// ends the process with f's code.
//
// testing/synctest wants a *testing.T. testing.Main makes one in an ordinary
// program; it reads the command line for flags of its own, so that the program
// must have read its arguments before.
func Enter(f func(t *testing.T) (code int)) {
	os.Args = os.Args[:1]
	match := func(string, string) (bool, error) { return true, nil }
	testing.Main(match, []testing.InternalTest{{
		Name: "replay",
		F:    func(t *testing.T) { os.Exit(f(t)) },
	}}, nil, nil)
}

// Bubble runs f in virtual time.
func Bubble(t *testing.T, f func()) {
	synctest.Test(t, func(*testing.T) { f() })
}
