package replay

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Program starts each instance as an operating system's process of its own, so
// that one can be frozen between any two of its steps. Its fields are set before
// Start.
type Program struct {
	// Path is the hornbeamstage program.
	Path string
	// Dir gets the settings file of each instance; it exists.
	Dir string
	// Output gets what the processes write; nil drops it.
	Output io.Writer
}

// Start is a Starter. The process has its own seed and the router's own policy.
func (p *Program) Start(proc Process) Node {
	file := filepath.Join(p.Dir, fmt.Sprintf("%s.toml", proc.Settings.Instance.ID))
	c := &child{program: p, file: file, began: make(chan struct{})}
	c.err = writeSettings(file, &proc)
	return Node{Run: c.run, Stop: c.stop, Pause: c.pause, Resume: c.resume}
}

func writeSettings(file string, proc *Process) (err error) {
	defer func() { err = errors.Wrap(err, "write settings") }()
	data, err := toml.Marshal(proc.Settings)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// child is one process.
type child struct {
	program *Program
	file    string
	// err is why it can't be started; nil when it can.
	err error
	// began is closed when process is set or err is.
	began   chan struct{}
	process *os.Process
}

// run starts the process and waits for its end. The end of ctx kills it, also
// while it is frozen.
func (c *child) run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "process of %s", c.file) }()
	cmd := exec.CommandContext(ctx, c.program.Path, "--settings", c.file)
	cmd.Stdout = c.program.Output
	cmd.Stderr = c.program.Output
	if c.err == nil {
		c.err = cmd.Start()
	}
	c.process = cmd.Process
	close(c.began)
	if c.err != nil {
		return c.err
	}
	err = cmd.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// signal sends s once the process has begun.
func (c *child) signal(s os.Signal) error {
	<-c.began
	if c.err != nil {
		return c.err
	}
	return c.process.Signal(s)
}

// stop asks for a graceful stop. A process that has ended needs none.
func (c *child) stop() { _ = c.signal(syscall.SIGTERM) }

func (c *child) pause() error { return c.signal(syscall.SIGSTOP) }

func (c *child) resume() error { return c.signal(syscall.SIGCONT) }
