package replay

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/settings"
	"github.com/hornbeamstage/hornbeamstage/standin/host"
)

// readyPoll is how often the balancer asks an instance whether it is ready.
const readyPoll = 200 * time.Millisecond

// instance is one entry instance over all its lives.
type instance struct {
	id     hbs.InstanceID
	n      int
	domain hbs.DomainName
	fleet  *fleet
	begin  Starter
	policy string
	probe  *http.Client

	mu   sync.Mutex
	life *life
	past []*life
	// stalls are the times in which its bytes were held.
	stalls []stalled
	// ready is what the balancer believes.
	ready bool
}

// life is one process of an instance.
type life struct {
	node    Node
	host    *host.Host
	cancel  context.CancelFunc
	ended   chan struct{}
	started time.Time
	// ready is when the balancer first saw it ready.
	ready time.Time
	// killed and stopping are when the process was killed or asked to stop; zero
	// when it was not.
	killed, stopping time.Time
	// replaced is set by the fault that starts the next life.
	replaced bool
}

func (f *fleet) newInstance(n int, begin Starter, policy string) *instance {
	in := &instance{
		id:     hbs.InstanceID(fmt.Sprintf("i%d", n+1)),
		n:      n,
		domain: f.domain(n),
		fleet:  f,
		begin:  begin,
		policy: policy,
	}
	in.probe = &http.Client{
		Transport: network.Transport(f.net.network(domainCallers)),
		Timeout:   time.Second,
	}
	return in
}

func (in *instance) callers() netip.AddrPort { return address(netInstance, in.n, portCallers) }

// settings returns the settings file's content of the instance.
func (in *instance) settings() settings.Settings {
	s := settings.Defaults()
	s.Instance.ID = in.id
	s.Instance.Domain = in.domain
	s.Instance.Region = in.fleet.shape.Region
	s.Listen.Callers = in.callers()
	s.Listen.Peers = address(netInstance, in.n, portPeers)
	s.Listen.Operators = address(netInstance, in.n, portOperators)
	s.Platform.Address = in.fleet.platform.Address
	for i := range in.fleet.shape.Instances {
		if i != in.n {
			s.Peers.Seeds = append(s.Peers.Seeds, address(netInstance, i, portPeers))
		}
	}
	return s
}

// startAfter begins a new life unless another fault has done so since l ended.
func (in *instance) startAfter(ctx context.Context, l *life) {
	in.mu.Lock()
	first := !l.replaced
	l.replaced = true
	in.mu.Unlock()
	if first && ctx.Err() == nil {
		in.start(ctx)
	}
}

// start begins a new life until ctx ends.
func (in *instance) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	f := in.fleet
	l := &life{
		host:    &host.Host{Network: f.net.process(in.domain, in.id), Classify: f.classify},
		cancel:  cancel,
		ended:   make(chan struct{}),
		started: time.Now(),
	}
	in.mu.Lock()
	lives := len(in.past)
	in.mu.Unlock()
	l.node = in.begin(Process{
		Settings: in.settings(),
		Network:  l.host,
		Policy:   in.policy,
		Seed:     f.seed*1000 + uint64(in.n*100+lives),
		Log:      f.log.With(zap.String("instance", string(in.id))),
	})
	in.mu.Lock()
	in.life = l
	in.past = append(in.past, l)
	in.mu.Unlock()
	f.running.Go(func() { in.live(ctx, l) })
	f.running.Go(func() { in.watch(ctx, l) })
}

func (in *instance) live(ctx context.Context, l *life) {
	defer close(l.ended)
	defer l.cancel()
	err := l.node.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) && l.killed.IsZero() {
		in.fleet.log.Error("instance ended", zap.String("instance", string(in.id)), zap.Error(err))
	}
}

// watch keeps the balancer's view of the instance until its life ends.
func (in *instance) watch(ctx context.Context, l *life) {
	defer in.probe.CloseIdleConnections()
	for {
		ready := in.isReady(ctx)
		in.setReady(ready, l)
		t := time.NewTimer(readyPoll)
		select {
		case <-t.C:
		case <-l.ended:
			t.Stop()
			in.setReady(false, l)
			return
		}
	}
}

func (in *instance) isReady(ctx context.Context) bool {
	url := fmt.Sprintf("http://%s/readyz", address(netInstance, in.n, portOperators))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := in.probe.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (in *instance) setReady(ready bool, l *life) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ready = ready
	if ready && l.ready.IsZero() {
		l.ready = time.Now()
	}
}

func (in *instance) believedReady() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ready
}

// kill ends the present life at once.
func (in *instance) kill() *life {
	in.mu.Lock()
	l := in.life
	l.killed = time.Now()
	in.mu.Unlock()
	l.host.Kill()
	l.cancel()
	return l
}

// stop asks the present life for a graceful stop.
func (in *instance) stop() *life {
	in.mu.Lock()
	l := in.life
	l.stopping = time.Now()
	in.mu.Unlock()
	l.node.Stop()
	return l
}

// during returns the life that was running at a time.
func (in *instance) during(at time.Time) *life {
	in.mu.Lock()
	defer in.mu.Unlock()
	found := in.past[0]
	for _, l := range in.past {
		if !l.started.After(at) {
			found = l
		}
	}
	return found
}

// slowestRestart returns the longest time that a life other than the first
// took, or has been taking, to be ready.
func (in *instance) slowestRestart() (slowest time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, l := range in.past[1:] {
		end := l.ready
		if end.IsZero() {
			end = l.end()
		}
		slowest = max(slowest, end.Sub(l.started))
	}
	return slowest
}

// end is when the life was told to end, or now.
func (l *life) end() time.Time {
	switch {
	case !l.killed.IsZero():
		return l.killed
	case !l.stopping.IsZero():
		return l.stopping
	}
	return time.Now()
}

func (in *instance) controlBytes() (peer, platform int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, l := range in.past {
		b := l.host.Bytes()
		peer += b[purposePeer]
		platform += b[purposePlatform]
	}
	return peer, platform
}
