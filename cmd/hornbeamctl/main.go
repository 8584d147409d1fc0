// Command hornbeamctl is the operators' command-line tool. It edits the fleet
// configuration and shows it, the instances, the endpoints and the service-level
// burn.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/hornbeamstage/hornbeamstage/catalog"
	"github.com/hornbeamstage/hornbeamstage/console"
	"github.com/hornbeamstage/hornbeamstage/network"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cmd := console.Command{
		Args:    os.Args[1:],
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Network: network.TCP{},
		Knobs:   catalog.Knobs(),
	}
	return int(cmd.Run(ctx))
}
