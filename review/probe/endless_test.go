package probe

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// routeTimeout is the timeout of the route, answerSlack the time after it in which a
	// caller must have an answer, and patience how long the callers wait for one.
	routeTimeout = 1500 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	patience     = 20 * time.Second
	// deadlineMS is the time that the callers name to the instance, in milliseconds.
	deadlineMS = 15000
	// endlessCallers is the number of callers, callPause the time between two requests
	// of one, callTime how long they send.
	endlessCallers = 40
	callPause      = 100 * time.Millisecond
	callTime       = 18 * time.Second
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// faultPause is the time before each of the two faults.
	faultPause = 2 * time.Second
)

// runEndless lets half of the endpoints, and then the others, answer a few requests with
// a head that changes the protocol and bytes without end, and measures when callers get
// an answer.
func runEndless(s *scene) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	err = s.publish([]any{map[string]any{
		"name": "status", "host": host, "path-prefix": "/status/", "kind": "idempotent", "service": "desk", "timeout-ms": routeTimeout.Milliseconds(),
		"target-latency-ms": 300, "priority": 1, "max-attempts": 2, "public": true,
	}}, []any{map[string]any{"name": "desk", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false}}, nil, maxBody)
	if err != nil {
		return false, err
	}
	c := &endlessCase{scene: s}
	var desks []*endpoint
	for i := range apps {
		e, err := s.startEndpoint(fmt.Sprintf("desk-%d", i+1), "desk", "", 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		desks = append(desks, e)
	}
	if c.p, err = s.newInstance("edge-1", memoryMB); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	for i := range endlessCallers {
		wg.Add(1)
		go func() { defer wg.Done(); c.call(i) }()
	}
	for n := 0; n < apps; n += faultyApps {
		time.Sleep(faultPause)
		if s.trouble {
			s.spoilEndlessly(desks[n : n+faultyApps])
		}
	}
	wg.Wait()
	broken = c.judge()
	c.stopInstance()
	return broken, nil
}

// spoilEndlessly makes endpoints faulty for spoilTime.
func (s *scene) spoilEndlessly(faulty []*endpoint) {
	for _, e := range faulty {
		e.setEndless(spoilShare)
		s.note("%s spoils %.2f of its answers", e.id, spoilShare)
	}
	time.Sleep(spoilTime)
	for _, e := range faulty {
		s.note("%s is sound again, %d answers were spoiled", e.id, e.setEndless(0))
	}
}

// stopInstance stops the instance as the platform does, and notes whether it ended.
func (c *endlessCase) stopInstance() {
	c.note("platform: SIGTERM to process %d", c.p.pid())
	_ = syscall.Kill(c.p.pid(), syscall.SIGTERM)
	select {
	case <-c.p.ended():
	case <-time.After(grace):
		c.note("platform: process %d still runs after %s, without a request of a caller: SIGKILL", c.p.pid(), grace)
		c.p.kill()
	}
}

// endlessCase is the state of the case endless.
type endlessCase struct {
	*scene
	p *instance

	mu sync.Mutex
	// asked counts the requests, lasting those without an answer at the route's timeout
	// and late those without one answerSlack later.
	asked, lasting, late int
}

// call sends requests on kept connections for callTime.
func (c *endlessCase) call(i int) {
	until := time.Now().Add(callTime)
	for n := 0; time.Now().Before(until); {
		conn, err := c.p.dial()
		if err != nil {
			c.note("no connection: %v", err)
			return
		}
		for again := true; again && time.Now().Before(until); {
			time.Sleep(callPause)
			n++
			again = c.exchange(conn, fmt.Sprintf("q-%d-%d", i, n))
		}
		_ = conn.Close()
	}
}

// exchange sends a request and waits for its answer. It reports whether the connection
// may be used again.
func (c *endlessCase) exchange(conn *connection, id string) (again bool) {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(patience))
	status, again, err := conn.send(http.MethodGet, "/status/x", id, deadlineMS, "")
	took := time.Since(began)
	if status != http.StatusOK || err != nil {
		c.note("request %s: status %d, error %v after %.3f s", id, status, err, took.Seconds())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if took > routeTimeout {
		c.lasting++
	}
	if took > routeTimeout+answerSlack {
		c.late++
	}
	return again
}

// judge applies the rule to the requests that lasted longer than the route's timeout.
func (c *endlessCase) judge() (broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%d requests, %d without an answer at the route's timeout, %d of them without one %s later", c.asked, c.lasting, c.late, answerSlack)
	return c.late >= 8 && 4*c.late > c.lasting
}
