// Command replay plays recorded traces against the router and small stand-ins
// in one process, in virtual time or over loopback.
package main

import (
	"os"

	"github.com/hornbeamstage/hornbeamstage/replay"
)

func main() {
	c := &replay.Command{Start: replay.StartRouter, Out: os.Stdout, Errors: os.Stderr}
	os.Exit(c.Run(os.Args[1:]))
}
