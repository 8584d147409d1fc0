// Command hornbeamstage is the router that runs on every entry instance.
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
	stops := make(chan os.Signal, 4)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// A reader of the log that goes away must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	code, err := cmd.Run(ctx, stops)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hornbeamstage:", err)
	}
	return code
}
