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

// readyPoll is the interval at which the balancer checks the readiness of an
// instance.
const readyPoll = 200 * time.Millisecond

// instance is one router instance across its restarts.
type instance struct {
	id      hbs.InstanceID
	n       int
	domain  hbs.DomainName
	fleet   *fleet
	starter Starter
	policy  string
	probe   *http.Client

	mu           sync.Mutex
	current      *incarnation
	incarnations []*incarnation
	// stalls are the periods in which the instance was frozen or its traffic held.
	stalls []stallPeriod
	// ready is the result of the balancer's last readiness check.
	ready bool
}

// incarnation is one run of an instance, from its start until it stops or is
// killed.
type incarnation struct {
	node    Node
	host    *host.Host
	cancel  context.CancelFunc
	ended   chan struct{}
	started time.Time
	// ready is when the balancer first found it ready.
	ready time.Time
	// killed and stopping are when it was killed or asked to stop, or zero.
	killed, stopping time.Time
	// replaced is set once a fault starts the next incarnation.
	replaced bool
}

func (f *fleet) newInstance(n int, starter Starter, policy string) *instance {
	in := &instance{
		id:      hbs.InstanceID(fmt.Sprintf("i%d", n+1)),
		n:       n,
		domain:  f.domain(n),
		fleet:   f,
		starter: starter,
		policy:  policy,
	}
	in.probe = &http.Client{
		Transport: network.NewTransport(f.net.network(domainCallers)),
		Timeout:   time.Second,
	}
	return in
}

func (in *instance) callersAddress() netip.AddrPort { return address(netInstance, in.n, portCallers) }

// settings returns the settings file of the instance.
func (in *instance) settings() settings.Settings {
	s := settings.Defaults()
	s.Instance.ID = in.id
	s.Instance.Domain = in.domain
	s.Instance.Region = in.fleet.shape.Region
	s.Listen.Callers = in.callersAddress()
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

// restartAfter starts the incarnation that follows inc, unless another fault has
// already done so.
func (in *instance) restartAfter(ctx context.Context, inc *incarnation) {
	in.mu.Lock()
	first := !inc.replaced
	inc.replaced = true
	in.mu.Unlock()
	if first && ctx.Err() == nil {
		in.start(ctx)
	}
}

// start starts a new incarnation, which runs until ctx ends.
func (in *instance) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	f := in.fleet
	inc := &incarnation{
		host:    &host.Host{Network: f.net.instanceNetwork(in.domain, in.id), Classify: f.classify},
		cancel:  cancel,
		ended:   make(chan struct{}),
		started: time.Now(),
	}
	in.mu.Lock()
	restarts := len(in.incarnations)
	in.mu.Unlock()
	inc.node = in.starter(Process{
		Settings: in.settings(),
		Network:  inc.host,
		Policy:   in.policy,
		Seed:     f.seed*1000 + uint64(in.n*100+restarts),
		Log:      f.log.With(zap.String("instance", string(in.id))),
	})
	in.mu.Lock()
	in.current = inc
	in.incarnations = append(in.incarnations, inc)
	in.mu.Unlock()
	f.running.Go(func() { in.run(ctx, inc) })
	f.running.Go(func() { in.pollReadiness(ctx, inc) })
}

// run runs the node of inc until it ends.
func (in *instance) run(ctx context.Context, inc *incarnation) {
	defer close(inc.ended)
	defer inc.cancel()
	err := inc.node.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) && inc.killed.IsZero() {
		in.fleet.log.Error("instance failed", zap.String("instance", string(in.id)), zap.Error(err))
	}
}

// pollReadiness updates the balancer's view of the instance until inc has ended.
func (in *instance) pollReadiness(ctx context.Context, inc *incarnation) {
	defer in.probe.CloseIdleConnections()
	for {
		ready := in.checkReady(ctx)
		in.setReady(ready, inc)
		t := time.NewTimer(readyPoll)
		select {
		case <-t.C:
		case <-inc.ended:
			t.Stop()
			in.setReady(false, inc)
			return
		}
	}
}

func (in *instance) checkReady(ctx context.Context) bool {
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

func (in *instance) setReady(ready bool, inc *incarnation) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ready = ready
	if ready && inc.ready.IsZero() {
		inc.ready = time.Now()
	}
}

// seenReady returns the result of the balancer's last readiness check.
func (in *instance) seenReady() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ready
}

// kill kills the current incarnation.
func (in *instance) kill() *incarnation {
	in.mu.Lock()
	inc := in.current
	inc.killed = time.Now()
	in.mu.Unlock()
	inc.host.Kill()
	inc.cancel()
	return inc
}

// stop requests a graceful stop of the current incarnation.
func (in *instance) stop() *incarnation {
	in.mu.Lock()
	inc := in.current
	inc.stopping = time.Now()
	in.mu.Unlock()
	inc.node.Stop()
	return inc
}

// incarnationAt returns the last incarnation that was started by the given time.
func (in *instance) incarnationAt(at time.Time) *incarnation {
	in.mu.Lock()
	defer in.mu.Unlock()
	found := in.incarnations[0]
	for _, inc := range in.incarnations {
		if !inc.started.After(at) {
			found = inc
		}
	}
	return found
}

// slowestRestart returns the longest time that any incarnation but the first took
// to become ready. For one that was not ready yet, it is the time until its end.
func (in *instance) slowestRestart() (slowest time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, inc := range in.incarnations[1:] {
		end := inc.ready
		if end.IsZero() {
			end = inc.endTime()
		}
		slowest = max(slowest, end.Sub(inc.started))
	}
	return slowest
}

// endTime is when the incarnation was killed or asked to stop, or else now.
func (i *incarnation) endTime() time.Time {
	switch {
	case !i.killed.IsZero():
		return i.killed
	case !i.stopping.IsZero():
		return i.stopping
	}
	return time.Now()
}

func (in *instance) controlBytes() (peer, platform int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, inc := range in.incarnations {
		b := inc.host.Bytes()
		peer += b[purposePeer]
		platform += b[purposePlatform]
	}
	return peer, platform
}
