package probe

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// runIsolation sends a prompt of a tenant, isolates the tenant by a new config, and
// sends prompts with the same shared part of another tenant. Without the disruption the
// new config isolates nobody.
func runIsolation(s *scene) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	publish := func(isolated bool) error {
		return s.publish([]any{map[string]any{
			"name": "r", "host": host, "path-prefix": "/s/", "kind": "stream", "service": "engines", "timeout-ms": 4000, "target-latency-ms": 500,
			"target-gap-ms": 250, "priority": 1, "max-attempts": 2, "public": false, "sticky": true, "resumable": true,
		}}, []any{map[string]any{
			"name": "engines", "health-path": "/healthz", "max-connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv-capacity-tokens": 126201, "kv-token-bytes": 35136, "link-mbps": 1100000.0, "stride": 6, "max-concurrency": 12,
				"models": []any{map[string]any{"name": model}}},
		}}, []any{
			map[string]any{"name": "tenant-a", "api-keys": []string{"key-a"}, "isolated": isolated},
			map[string]any{"name": "tenant-b", "api-keys": []string{"key-b"}, "isolated": false},
		}, 4<<20)
	}
	if err := publish(false); err != nil {
		return false, err
	}
	e, err := s.startEndpoint("engine-1", "engines", model, 64, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	p, err := s.newInstance("edge-1", 134)
	if err != nil {
		return false, err
	}
	send := func(id, key, prompt string) error {
		q, err := http.NewRequest(http.MethodPost, "http://"+p.callers.String()+"/s/x", strings.NewReader("prompt"))
		if err != nil {
			return err
		}
		q.Host = host
		for name, value := range map[string]string{"X-Request-Id": id, "Api-Key": key, "X-Model": model, "X-Token-Usage": "900,18", "X-Prefix-Hash": prompt, "X-Deadline-Ms": "4000"} {
			q.Header.Set(name, value)
		}
		res, err := http.DefaultClient.Do(q)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		s.note("request %s with %s: status %d, %d bytes, error %v", id, key, res.StatusCode, len(body), err)
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("request %s: status %d", id, res.StatusCode)
		}
		return err
	}
	if err := send("a1", "key-a", "5c1e07a2:800,91bd3f06:100"); err != nil {
		return false, err
	}
	isolated := s.trouble
	if err := publish(isolated); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for i := range 3 {
		if err := send(fmt.Sprintf("b%d", i+1), "key-b", fmt.Sprintf("5c1e07a2:800,e4402b%02d:100", i)); err != nil {
			return false, err
		}
	}
	for _, x := range e.ran() {
		s.note("engine ran %s of %s under salt %q with cached parts of %v", x.request, x.tenant, x.salt, x.reused)
		for _, by := range x.reused {
			broken = broken || isolated && by == "tenant-a" && x.tenant != by
		}
	}
	return broken, nil
}
