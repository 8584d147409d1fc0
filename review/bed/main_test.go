package bed

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// defaultMemoryMB is the memory of an instance of softwold-ops, in MB.
const defaultMemoryMB = 284

// cases has the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(ctx context.Context, b *bed) (broken int, err error){
	"splice":  runSplice,
	"signals": runSignals,
	"weights": runWeights,
	"lone":    runLone,
}

// TestMain runs the case that the command line names. The default test run names none.
func TestMain(m *testing.M) {
	record := flag.String("record", "record.txt", "file to which the record is written")
	program := flag.String("program", "target/hornbeamstage", "program of an instance")
	flag.Parse()
	if flag.NArg() == 0 {
		os.Exit(m.Run())
	}
	os.Exit(runCase(flag.Arg(0), *record, *program))
}

// runCase runs a case and returns its exit code.
func runCase(name, recordFile, program string) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "bed: unknown case %q\n", name)
		return exitCouldNot
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	b := &bed{MemoryMB: defaultMemoryMB, Program: program, Trouble: os.Getenv("TROUBLE") != "0", record: newRecord()}
	defer b.close()
	broken, err := f(ctx, b)
	if err == nil {
		err = ctx.Err()
	}
	b.record.add("verdict: case %s, trouble %t, rule broken %d times, error %v", name, b.Trouble, broken, err)
	if writeErr := b.record.write(recordFile); writeErr != nil {
		err = errors.Join(err, writeErr)
	}
	fmt.Printf("%s: trouble %t, rule broken %d times\n", name, b.Trouble, broken)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "bed:", err)
		return exitCouldNot
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
