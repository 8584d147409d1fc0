package bed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment that cases refer to. They are those of softwold-ops.
const (
	configDeadline = 2 * time.Second
	graceTime      = 8 * time.Second
	convergeTime   = 12 * time.Second
	stableWindow   = 3 * time.Second
)

// The names of the deployment.
const (
	zone      = "mid-a"
	host      = "desk.example"
	modelName = "grade-model"
)

// bed holds the stand-ins and processes of one case.
type bed struct {
	Program string
	// Trouble is set unless the case runs without its disruption.
	Trouble bool
	// MemoryMB is the memory of an instance, in MB.
	MemoryMB int

	record    *record
	store     *store
	dir       string
	instances []*instance
	endpoints []*endpoint
}

// instance is one process of hornbeamstage.
type instance struct {
	name, front, ready string
	settings           string
	bed                *bed

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// start starts the store and n instances.
func (b *bed) start(n int) (err error) {
	b.store = newStore()
	if b.dir, err = os.MkdirTemp("", "bed"); err != nil {
		return err
	}
	for k := range n {
		i, err := b.newInstance(fmt.Sprintf("edge-%s-%d", zone, k+1))
		if err != nil {
			return err
		}
		b.instances = append(b.instances, i)
	}
	return nil
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, i := range b.instances {
		i.kill()
	}
	for _, e := range b.endpoints {
		e.close()
	}
	if b.store != nil {
		b.store.close()
	}
	if b.dir != "" {
		_ = os.RemoveAll(b.dir)
	}
}

// freeAddress returns a loopback address with a port that was free just now. The host is
// one of this process alone: no other case and no outgoing connection takes the port.
func freeAddress() (string, error) {
	const hosts = 250
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", 1+pid/hosts%hosts, 1+pid%hosts))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (b *bed) newInstance(name string) (i *instance, err error) {
	i = &instance{name: name, bed: b, settings: filepath.Join(b.dir, name+".json")}
	addresses := make([]string, 2)
	for k := range addresses {
		if addresses[k], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	i.front, i.ready = addresses[0], addresses[1]
	storeAddress, err := b.store.serve(name)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{
		"node": name, "role": "instance", "machine-class": "edge", "serves": []string{"edge"},
		"ip": "127.0.0.1", "zone": zone, "region": "midlands", "zones": map[string]string{zone: "midlands"},
		"listen": map[string]string{"front": i.front, "ready-addr": i.ready},
		"limits": map[string]any{"cpu-share": 0.4, "cpu-cores": 1, "memory-mb": b.MemoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"bounds": map[string]any{
			"stable-window-ms": stableWindow.Milliseconds(), "drain-ms": 2000, "grace-s": graceTime.Seconds(), "loss-slack-ms": 200,
			"config-deadline-ms": configDeadline.Milliseconds(), "rollback-slack-ms": 250, "strict-revoke": true, "revoke-ms": 5000,
			"budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 54, "recover-s": 12, "enforce-fencing": false,
			"lease-ms": 3000, "thaw-ms": 300, "converge-ms": convergeTime.Milliseconds(), "converge-all-ms": 17000,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20,
		},
	})
	if err != nil {
		return nil, err
	}
	return i, os.WriteFile(i.settings, data, 0o644)
}

// launch starts the process.
func (i *instance) launch() error {
	log, err := os.Create(filepath.Join(i.bed.dir, i.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(i.bed.Program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMSTAGE_BOOT=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		i.bed.record.add("process %s ended: %v", i.name, cmd.ProcessState)
		close(exited)
	}()
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	i.bed.record.add("process %s started, front %s", i.name, i.front)
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	i.bed.record.add("%v to %s", s, i.name)
	_ = i.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, exited := i.cmd, i.exited
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// launchAll starts all instances and waits until they are ready.
func (b *bed) launchAll(ctx context.Context) error {
	for _, i := range b.instances {
		if err := i.launch(); err != nil {
			return err
		}
	}
	for _, i := range b.instances {
		if err := i.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readyTimeout bounds the wait for an instance to become ready.
const readyTimeout = 20 * time.Second

// waitReady waits until the instance says that it is ready.
func (i *instance) waitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		res, err := http.Get("http://" + i.ready + "/v1/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return errors.New(i.name + " does not become ready")
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// config is a version of the operators' configuration.
type config struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path-prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeout-ms"`
	ObjectiveMS int    `json:"target-latency-ms"`
	GapMS       int    `json:"target-gap-ms,omitempty"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	Attempts    int    `json:"max-attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
}

// limits are those of the pages' example of a configuration.
var limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/healthz", "max-connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kv-capacity-tokens": 126201, "kv-token-bytes": 35136, "link-mbps": 1100000.0, "stride": 6,
			"max-concurrency": 12, "models": []map[string]string{{"name": modelName}},
		},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false}
}

// apply stores a configuration and returns the time of the acknowledgement.
func (b *bed) apply(c *config) (acknowledged time.Time, err error) {
	c.Limits = limits
	err = b.store.put("config", "main", c)
	b.record.add("config %d acknowledged", c.Version)
	return time.Now(), err
}
