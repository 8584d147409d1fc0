// Command replay replays recorded traces against the router and simulated
// dependencies in one process, in virtual time or over the loopback interface.
package main

import (
	"os"

	"github.com/hornbeamstage/hornbeamstage/replay"
)

func main() {
	c := &replay.Command{Start: replay.StartRouter, Out: os.Stdout, Errors: os.Stderr}
	os.Exit(c.Run(os.Args[1:]))
}
