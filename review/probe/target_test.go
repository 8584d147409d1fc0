package probe

import (
	"fmt"
	"net/http"
	"time"
)

// runTarget sends requests whose path begins with two slashes, which the prefix "/" of a
// route begins, and looks at the path with which the endpoint ran them.
func runTarget(s *scene) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	err = s.publish([]any{map[string]any{
		"name": "r", "host": host, "path-prefix": "/", "kind": "idempotent", "service": "app", "timeout-ms": 4000, "target-latency-ms": 500,
		"priority": 1, "max-attempts": 2, "public": true,
	}}, []any{map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false}}, nil, maxBody)
	if err != nil {
		return false, err
	}
	e, err := s.startEndpoint("app-1", "app", "", 6, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	p, err := s.newInstance("edge-1", memoryMB)
	if err != nil {
		return false, err
	}
	targets := []string{"/jobs/17?part=2", "/other.example/jobs/17?part=2"}
	if s.trouble {
		targets = []string{"//jobs/17?part=2", "//other.example/jobs/17?part=2"}
	}
	sent := map[string]string{}
	for i, target := range targets {
		id := fmt.Sprintf("t%d", i+1)
		sent[id] = target
		if err := sendTarget(s, p, id, target); err != nil {
			return false, err
		}
	}
	for _, x := range e.ran() {
		s.note("endpoint ran %s as %q on host %q, it was sent as %q on host %q", x.request, x.target, x.host, sent[x.request], host)
		broken = broken || x.target != sent[x.request] || x.host != host
	}
	return broken, nil
}

// sendTarget sends one request on a connection of its own.
func sendTarget(s *scene, p *instance, id, target string) error {
	conn, err := p.dial()
	if err != nil {
		return err
	}
	defer conn.Close()
	status, _, err := conn.send(http.MethodGet, target, id, 4000, "")
	s.note("request %s for %q: status %d, error %v", id, target, status, err)
	return err
}
