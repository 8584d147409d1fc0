// Command hornbeamstage runs the router. One process runs on every instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamstage/hornbeamstage/router"
)

func main() {
	os.Exit(run())
}

func run() int {
	var cmd router.Command
	parser := flags.NewParser(&cmd, flags.Default)
	parser.LongDescription = router.Help
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return router.ExitOK
		}
		return router.ExitUsage
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// A write to a closed log pipe must fail with an error, not kill the process.
	signal.Ignore(syscall.SIGPIPE)
	code, err := cmd.Run(ctx, signals)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hornbeamstage:", err)
	}
	return code
}
