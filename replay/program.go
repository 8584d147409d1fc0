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

// Program starts each instance as a separate operating system process, so that it
// can be frozen at any point of its execution. Its fields are set before Start.
type Program struct {
	// Path is the file of the hornbeamstage program.
	Path string
	// Dir is an existing directory in which the settings files are written.
	Dir string
	// Output receives the output of the processes; nil discards it.
	Output io.Writer
}

// Start is a Starter. It passes on only the settings: the process chooses its own
// seed and uses the router's default placement policy.
func (p *Program) Start(proc Process) Node {
	file := filepath.Join(p.Dir, fmt.Sprintf("%s.toml", proc.Settings.Instance.ID))
	c := &child{program: p, file: file, started: make(chan struct{})}
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

// child is the operating system process of one instance.
type child struct {
	program *Program
	file    string
	// err is the reason why the process could not be started, if any.
	err error
	// started is closed once process or err is set.
	started chan struct{}
	process *os.Process
}

// run starts the process and waits for it to exit. When ctx ends, it kills the
// process, even a frozen one.
func (c *child) run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "process of %s", c.file) }()
	cmd := exec.CommandContext(ctx, c.program.Path, "--settings", c.file)
	cmd.Stdout = c.program.Output
	cmd.Stderr = c.program.Output
	if c.err == nil {
		c.err = cmd.Start()
	}
	c.process = cmd.Process
	close(c.started)
	if c.err != nil {
		return c.err
	}
	err = cmd.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// signal waits until the process has been started and sends it s.
func (c *child) signal(s os.Signal) error {
	<-c.started
	if c.err != nil {
		return c.err
	}
	return c.process.Signal(s)
}

// stop requests a graceful stop. The error is ignored: a process that has exited
// needs no stop.
func (c *child) stop() { _ = c.signal(syscall.SIGTERM) }

func (c *child) pause() error { return c.signal(syscall.SIGSTOP) }

func (c *child) resume() error { return c.signal(syscall.SIGCONT) }
