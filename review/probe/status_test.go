package probe

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// spoilShare is the share of the answers that faulty endpoints spoil, spoilTime how
	// long they do, and faultyApps how many of apps endpoints are faulty at once.
	spoilShare = 0.05
	spoilTime  = 5 * time.Second
	faultyApps = 2
	apps       = 4
	// spoilTimes is how often it happens, each after spoilPause.
	spoilTimes = 8
	spoilPause = 2 * time.Second
	// lookers is the number of callers of each kind, lookPause the time between two
	// requests of one.
	lookers   = 12
	lookPause = 100 * time.Millisecond
	// lookDeadlineMS is the time that the callers name to the instance, in milliseconds.
	lookDeadlineMS = 1500
	// calmTime is the time after the last spoiled answer until the callers' requests
	// count, countTime how long they do.
	calmTime  = 6 * time.Second
	countTime = 10 * time.Second
)

// runStatus lets endpoints of one service spoil the status line of a few answers for some
// seconds, and looks at the requests for the service when all endpoints are sound again.
func runStatus(s *scene) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	route := func(name, service string) map[string]any {
		return map[string]any{"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": "idempotent", "service": service, "timeout-ms": 1500,
			"target-latency-ms": 300, "priority": 1, "max-attempts": 2, "public": true}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false}
	}
	if err := s.publish([]any{route("status", "desk"), route("stock", "store")}, []any{service("desk"), service("store")}, nil, maxBody); err != nil {
		return false, err
	}
	c := &statusCase{scene: s, stop: make(chan struct{}), served: map[string]int{}, asked: map[string]int{}}
	for i := range apps {
		e, err := s.startEndpoint(fmt.Sprintf("desk-%d", i+1), "desk", "", 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		c.desks = append(c.desks, e)
		if _, err := s.startEndpoint(fmt.Sprintf("store-%d", i+1), "store", "", 6, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if c.p, err = s.newInstance("edge-1", memoryMB); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	for i := range lookers {
		for _, kind := range []string{"status", "stock"} {
			wg.Add(1)
			go func() { defer wg.Done(); c.look(kind, i) }()
		}
	}
	for n := range spoilTimes {
		time.Sleep(spoilPause)
		c.spoil(n)
	}
	time.Sleep(calmTime)
	c.mu.Lock()
	c.counting = true
	c.mu.Unlock()
	s.note("all endpoints have been sound for %s, requests count now", calmTime)
	time.Sleep(countTime)
	close(c.stop)
	wg.Wait()
	return c.judge(), nil
}

// statusCase is the state of the case status.
type statusCase struct {
	*scene
	p     *instance
	desks []*endpoint
	stop  chan struct{}

	mu       sync.Mutex
	counting bool
	// asked and served count the requests by kind while counting is set.
	asked, served map[string]int
}

// spoil makes some endpoints faulty for spoilTime, in turn.
func (c *statusCase) spoil(n int) {
	if !c.trouble {
		time.Sleep(spoilTime)
		return
	}
	first := n * faultyApps % apps
	for _, e := range c.desks[first : first+faultyApps] {
		e.setSpoil(spoilShare)
		c.note("fault %d begins: %s spoils %.2f of its answers", n+1, e.id, spoilShare)
	}
	time.Sleep(spoilTime)
	spoiled := 0
	for _, e := range c.desks {
		spoiled += e.setSpoil(0)
	}
	c.note("fault %d ends, %d answers were spoiled so far", n+1, spoiled)
}

// look sends requests on kept connections.
func (c *statusCase) look(kind string, i int) {
	for n := 0; ; {
		conn, err := c.p.dial()
		if err != nil {
			c.note("no connection: %v", err)
			return
		}
		for again := true; again; {
			select {
			case <-c.stop:
				_ = conn.Close()
				return
			case <-time.After(lookPause):
			}
			n++
			again = c.exchange(conn, kind, fmt.Sprintf("%s-%d-%d", kind, i, n))
		}
		_ = conn.Close()
	}
}

// exchange sends a request and reads its answer. It reports whether the connection may be
// used again.
func (c *statusCase) exchange(conn *connection, kind, id string) (again bool) {
	c.mu.Lock()
	counting := c.counting
	c.mu.Unlock()
	status, again, err := conn.send(http.MethodGet, "/"+kind+"/x", id, lookDeadlineMS, "")
	if status != http.StatusOK || err != nil {
		c.note("request %s: status %d, error %v", id, status, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if counting {
		c.asked[kind]++
		if status == http.StatusOK && err == nil {
			c.served[kind]++
		}
	}
	return again
}

// judge compares how often the two kinds of request were served.
func (c *statusCase) judge() (broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked, served := c.asked["status"]+c.asked["stock"], c.served["status"]+c.served["stock"]
	c.note("status: %d asked, %d served; stock: %d asked, %d served", c.asked["status"], c.served["status"], c.asked["stock"], c.served["stock"])
	if asked == 0 || c.asked["status"] == 0 {
		return false
	}
	return float64(c.served["status"])/float64(c.asked["status"]) < float64(served)/float64(asked)/4
}
