package replay

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hornbeamstage/hornbeamstage/trace"
)

// serve runs a fleet on loopback until the process receives a signal.
func (c *Command) serve(o *serveOptions) (err error) {
	t, err := trace.ReadFile(o.Trace)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	f := newFleet(t.Header.Fleet, 1, c.newLogger(o.Log), loopback{})
	f.start(ctx, c.Start, "", t.Header.Workspaces)
	defer f.wait()
	if err := f.ready(ctx, readyWait); err != nil {
		cancel()
		return err
	}
	c.printExample(f, t)
	<-ctx.Done()
	return nil
}

// printExample prints a command that sends a request to the fleet.
func (c *Command) printExample(f *fleet, t *trace.Trace) {
	in := f.instances[0]
	fmt.Fprintf(c.Out, "%d instances, %d engines and %d service replicas are up. Try:\n\n", len(f.instances), len(f.engines), len(f.services))
	fmt.Fprintf(c.Out, "curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n",
		in.callersAddress(), bearerKey(t.Header.Workspaces[0].ID), t.Header.Fleet.Engines[0].Model)
	fmt.Fprintf(c.Out, "Status: curl http://%s/status\nEnd with Ctrl-C.\n", in.settings().Listen.Operators)
}
