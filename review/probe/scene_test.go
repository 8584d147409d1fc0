package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
	store "github.com/hornbeamstage/hornbeamstage/standin/platform"
)

const (
	// program is the program of the deploy file, relative to the repository's root.
	program = "target/hornbeamstage"
	// startTimeout bounds the time until an instance is ready.
	startTimeout = 15 * time.Second
	// zone is the failure domain of everything.
	zone = "zone-a"
	// host is the host name of all routes, model the only model.
	host, model = "case.example", "m1"
)

// scene is what a case runs: the store, endpoints and instances.
type scene struct {
	ctx     context.Context
	temp    string
	began   time.Time
	trouble bool

	mu     sync.Mutex
	record io.Writer

	store     *store.Platform
	version   int
	processes []*instance
}

// note writes a line to the record.
func (s *scene) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.record, line)
	fmt.Print(line)
}

// close ends all processes.
func (s *scene) close() {
	for _, p := range s.processes {
		p.kill()
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return netip.ParseAddrPort(l.Addr().String())
}

// startStore starts the stand-in of the platform's store.
func (s *scene) startStore() error {
	addr, err := freeAddress()
	if err != nil {
		return err
	}
	s.store = &store.Platform{Address: addr, Network: network.TCP{}}
	go func() { _ = s.store.Run(s.ctx) }()
	return waitFor(s.ctx, startTimeout, func() bool {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
}

// publish stores the next version of the config.
func (s *scene) publish(routes, services, tenants []any, maxBodyBytes int) error {
	s.version++
	err := s.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": s.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.note("config version %d acknowledged", s.version)
	return err
}

// instance is one process of the system.
type instance struct {
	scene *scene
	name  string
	// callers and ready are its addresses, settings and log its files.
	callers, ready netip.AddrPort
	settings, log  string

	mu sync.Mutex
	// cmd is the process that was started last, and done is closed when it has ended.
	cmd  *exec.Cmd
	done chan struct{}
}

// newInstance writes the settings of an instance and starts it.
func (s *scene) newInstance(name string, memoryMB int) (*instance, error) {
	p := &instance{scene: s, name: name, settings: filepath.Join(s.temp, name+".json"), log: filepath.Join(s.temp, name+".log")}
	var err error
	if p.callers, err = freeAddress(); err != nil {
		return nil, err
	}
	if p.ready, err = freeAddress(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{
		"node": name, "role": "instance", "machine-class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
		"zone": zone, "region": "region", "zones": map[string]string{zone: "region"},
		"listen": map[string]string{"front": p.callers.String(), "ready-addr": p.ready.String()}, "bootstrap": true,
		"limits":       map[string]any{"cpu-share": 0.4, "cpu-cores": 1, "memory-mb": memoryMB, "max-fds": 4200, "link-mbps": 1000.0, "disk-mb": 0},
		"heartbeat-ms": 1200,
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
			"loss-slack-ms": 200, "config-deadline-ms": 2000, "rollback-slack-ms": 250, "skew-max-ms": 5000, "strict-revoke": true,
			"revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 54, "recover-s": 12, "transit-ms": 120,
			"reuse-window-s": 10, "enforce-fencing": false, "lease-ms": 3000, "thaw-ms": 300, "converge-ms": 15000, "converge-all-ms": 21000,
		},
		"platform": map[string]any{
			"address": s.store.Address.String(), "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
			"value-bytes": 1048576, "ttl-min-ms": 1000,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	if err := p.start(); err != nil {
		return nil, err
	}
	return p, waitFor(s.ctx, startTimeout, p.isReady)
}

// start starts the process.
func (p *instance) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"HORNBEAMSTAGE_BOOT=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + p.scene.temp}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	p.scene.note("instance %s started, process %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.scene.note("instance %s, process %d ended: %v", p.name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// ended returns a channel that is closed when the process has ended.
func (p *instance) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// pid returns the process's id.
func (p *instance) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// kill ends the process and waits for its end.
func (p *instance) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// isReady asks the instance whether it is ready, as the platform does.
func (p *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + p.ready.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitFor waits until ok returns true.
func waitFor(ctx context.Context, d time.Duration, ok func() bool) error {
	deadline := time.Now().Add(d)
	for !ok() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("nothing after %s", d)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
