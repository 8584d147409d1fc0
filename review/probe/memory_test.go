package probe

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of an instance, maxBody the largest body that callers may
	// send.
	memoryMB = 134
	maxBody  = 4 << 20
	// uploads is the number of requests with the largest body.
	uploads = 40
	// bookers is the number of kept connections with requests that may run once.
	bookers = 16
	// bookWork is the time that an endpoint works on a request.
	bookWork = 200 * time.Millisecond
	// bookDeadlineMS is the time that the callers with small requests name to the
	// instance, in milliseconds.
	bookDeadlineMS = 1500
	// restartDelay is the time after which the platform restarts a process.
	restartDelay = 500 * time.Millisecond
)

// runMemory sends requests with the largest body that the config allows, all at once or
// one after the other, beside small ones on kept connections. The platform kills a
// process that exceeds its memory.
func runMemory(s *scene) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "service": "app", "timeout-ms": 15000,
			"target-latency-ms": 500, "priority": 1, "max-attempts": attempts, "public": true}
	}
	err = s.publish([]any{route("book", "non_idempotent", 1), route("file", "idempotent", 2)},
		[]any{map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false}}, nil, maxBody)
	if err != nil {
		return false, err
	}
	var apps []*endpoint
	for i := range 4 {
		e, err := s.startEndpoint(fmt.Sprintf("app-%d", i+1), "app", "", 6, bookWork)
		if err != nil {
			return false, err
		}
		apps = append(apps, e)
	}
	p, err := s.newInstance("edge-1", memoryMB)
	if err != nil {
		return false, err
	}
	m := &memoryCase{scene: s, p: p, stop: make(chan struct{})}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); m.watch() }()
	for i := range bookers {
		wg.Add(1)
		go func() { defer wg.Done(); m.book(i) }()
		time.Sleep(bookWork / bookers)
	}
	time.Sleep(4 * time.Second)
	m.upload()
	time.Sleep(2 * time.Second)
	close(m.stop)
	wg.Wait()
	return m.judge(apps), nil
}

// memoryCase is the state of the case memory.
type memoryCase struct {
	*scene
	p    *instance
	stop chan struct{}

	mu sync.Mutex
	// peak is the largest resident memory, kills the number of times that the platform
	// killed the process.
	peak, kills int
	// closed has the requests whose kept connection was closed without an answer.
	closed  []string
	answers int
}

func (m *memoryCase) stopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// watch does what the platform does: it kills a process that exceeds its memory, and
// restarts it.
func (m *memoryCase) watch() {
	for !m.stopped() {
		rss := residentKB(m.p.pid())
		m.mu.Lock()
		m.peak = max(m.peak, rss)
		m.mu.Unlock()
		if rss > memoryMB<<10 {
			m.note("platform: process %d has %d KB, its limit is %d MB: killed", m.p.pid(), rss, memoryMB)
			m.mu.Lock()
			m.kills++
			m.mu.Unlock()
			_ = syscall.Kill(m.p.pid(), syscall.SIGKILL)
			time.Sleep(restartDelay)
			if err := m.p.start(); err != nil {
				m.note("not restarted: %v", err)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// residentKB returns the resident memory of a process, 0 if it has ended.
func residentKB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return n
		}
	}
	return 0
}

// book sends small requests on one kept connection, one after the other.
func (m *memoryCase) book(i int) {
	for n := 0; !m.stopped(); {
		conn, err := m.p.dial()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for again := true; again && !m.stopped(); {
			n++
			id := fmt.Sprintf("book-%d-%d", i, n)
			var status int
			status, again, err = conn.send(http.MethodPost, "/book/x", id, bookDeadlineMS, "book")
			m.record(id, status, err)
		}
		_ = conn.Close()
	}
}

// record records the answer to a small request, or that none came.
func (m *memoryCase) record(id string, status int, err error) {
	m.note("request %s: status %d, error %v", id, status, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if status == 0 {
		m.closed = append(m.closed, id)
		return
	}
	m.answers++
}

// upload sends the requests with the largest body.
func (m *memoryCase) upload() {
	var wg sync.WaitGroup
	for i := range uploads {
		wg.Add(1)
		send := func() { defer wg.Done(); m.uploadOne(i) }
		if m.trouble {
			go send()
			continue
		}
		send()
	}
	wg.Wait()
}

func (m *memoryCase) uploadOne(i int) {
	id := fmt.Sprintf("file-%d", i)
	q, err := http.NewRequest(http.MethodPost, "http://"+m.p.callers.String()+"/file/x", bytes.NewReader(make([]byte, maxBody)))
	if err != nil {
		return
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "10000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(q)
	if err != nil {
		m.note("request %s with %d bytes: %v", id, maxBody, err)
		return
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	m.note("request %s with %d bytes: status %d, error %v", id, maxBody, res.StatusCode, err)
}

// judge counts the requests that an endpoint ran to their end, or was running, and whose
// kept connection was closed without an answer.
func (m *memoryCase) judge(apps []*endpoint) (broken bool) {
	ran := map[string]int{}
	for _, e := range apps {
		for _, x := range e.ran() {
			ran[x.request]++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := 0
	for _, id := range m.closed {
		if ran[id] > 0 {
			lost++
			m.note("request %s ran and its kept connection was closed without an answer", id)
		}
	}
	m.note("%d small requests answered, %d of those that ran lost, largest memory %d KB, killed %d times", m.answers, lost, m.peak, m.kills)
	return lost > 3
}
