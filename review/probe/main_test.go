// Package probe has the cases of the review, as a test binary. Each case starts instances
// with the command of the deploy file, and stand-ins of the platform's store, of endpoints
// and of callers, on loopback addresses. It writes what was sent, answered and run to the
// file record.txt of the case's folder.
//
// The binary runs a case if its arguments are the case's name and folder. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case couldn't run. Under go test it runs
// none.
package probe

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// cases has the function of each case. It reports whether the rule was broken.
var cases = map[string]func(*scene) (broken bool, err error){
	"memory":    runMemory,
	"isolation": runIsolation,
	"target":    runTarget,
	"status":    runStatus,
	"endless":   runEndless,
}

func TestMain(m *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	os.Exit(runCase())
}

func runCase() int {
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "probe")
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	s := &scene{ctx: ctx, temp: temp, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer s.close()
	s.note("case %s, disruption: %v", os.Args[1], s.trouble)
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		return exitNotRun
	case broken:
		s.note("BROKEN")
		return exitBroken
	}
	s.note("held")
	return exitHeld
}
