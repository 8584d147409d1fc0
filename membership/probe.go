package membership

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
)

const (
	// probeBacklog bounds the endpoints that wait for a first probe. A request
	// that finds the backlog full is dropped; the next failed attempt or peer
	// digest repeats it.
	probeBacklog = 1024
	// maxProbes bounds concurrent probes.
	maxProbes = 16
	// maxStateBody bounds the body of an engine's state, in bytes.
	maxStateBody = 64 << 10
	// probeTick is the resolution of the probe schedule.
	probeTick = 50 * time.Millisecond
)

// probeSchedule is the time of an endpoint's next probe and the backoff interval.
type probeSchedule struct {
	next     time.Time
	interval time.Duration
}

// probeResult is the result of one probe; err is nil if the endpoint answered.
type probeResult struct {
	id  hbs.EndpointID
	err error
}

// probeLoop probes endpoints until they answer (rules 2 and 3).
func (d *Directory) probeLoop(ctx context.Context) error {
	p := prober{
		Directory: d,
		transport: network.NewTransport(d.Network),
		scheduled: map[hbs.EndpointID]probeSchedule{},
		inFlight:  map[hbs.EndpointID]bool{},
		results:   make(chan probeResult, maxProbes),
	}
	defer p.transport.CloseIdleConnections()
	workers := pool.New().WithMaxGoroutines(maxProbes)
	defer workers.Wait()
	tick := time.NewTicker(probeTick)
	defer tick.Stop()
	for {
		select {
		case id := <-d.probeRequests:
			p.enqueue(id)
		case r := <-p.results:
			p.handleResult(r)
		case <-p.tickChannel(tick):
		case <-ctx.Done():
			return ctx.Err()
		}
		p.startReady(ctx, workers)
	}
}

// tickChannel returns the ticker's channel while any probe is scheduled, else
// nil: waking an idle process costs more than the probes.
func (p *prober) tickChannel(t *time.Ticker) <-chan time.Time {
	if len(p.scheduled) == 0 {
		return nil
	}
	return t.C
}

// prober is the state of the probing goroutine. An endpoint stays in scheduled
// while its probe is in flight.
type prober struct {
	*Directory
	transport *network.Transport
	scheduled map[hbs.EndpointID]probeSchedule
	inFlight  map[hbs.EndpointID]bool
	results   chan probeResult
}

func (p *prober) enqueue(id hbs.EndpointID) {
	if _, ok := p.scheduled[id]; !ok {
		p.scheduled[id] = probeSchedule{next: time.Now()}
	}
}

func (p *prober) startReady(ctx context.Context, workers *pool.Pool) {
	now := time.Now()
	for _, id := range p.ready(now) {
		e := p.endpoint(id)
		if e == nil {
			delete(p.scheduled, id)
			continue
		}
		p.inFlight[id] = true
		workers.Go(func() {
			r := probeResult{id, p.probe(ctx, e)}
			select {
			case p.results <- r:
			case <-ctx.Done():
			}
		})
	}
}

// ready returns the endpoints to probe now, up to the limit of concurrent probes.
func (p *prober) ready(now time.Time) []hbs.EndpointID {
	var ids []hbs.EndpointID
	for id, s := range p.scheduled {
		if !p.inFlight[id] && !s.next.After(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxProbes-len(p.inFlight))]
}

func (p *prober) handleResult(r probeResult) {
	delete(p.inFlight, r.id)
	p.counter(meterProbes).Inc(1)
	if r.err == nil {
		delete(p.scheduled, r.id)
		p.observations.clearSuspect(r.id)
		p.Refresh()
		return
	}
	if p.observations.markSuspect(r.id) {
		p.counter(meterSuspicions).Inc(1)
		p.Refresh()
	}
	s := p.scheduled[r.id]
	minInterval := p.Policy.Duration(KnobProbeInterval, hbs.Scope{})
	maxInterval := p.Policy.Duration(KnobProbeMax, hbs.Scope{})
	s.interval = min(max(2*s.interval, minInterval), maxInterval)
	s.next = time.Now().Add(s.interval/2 + time.Duration(p.Rand.Int64N(int64(s.interval))))
	p.scheduled[r.id] = s
}

// probe requests an engine's state; for a plain service, an accepted connection
// is enough.
func (p *prober) probe(ctx context.Context, e *hbs.Endpoint) (err error) {
	defer func() { err = errors.Wrapf(err, "probe %s", e.ID) }()
	ctx, cancel := context.WithTimeout(ctx, p.Policy.Duration(KnobProbeTimeout, hbs.Scope{}))
	defer cancel()
	if e.Kind == hbs.KindService {
		conn, err := p.Network.Dial(ctx, e.Address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
	return p.probeEngine(ctx, e)
}

func (p *prober) probeEngine(ctx context.Context, e *hbs.Endpoint) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+"/state", nil)
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("unexpected status %d", resp.StatusCode)
	}
	body, err := network.ReadBody(resp.Body, maxStateBody)
	if err != nil {
		return err
	}
	state, err := DecodeState(body)
	if err != nil {
		return err
	}
	p.observations.recordAnswer(e.ID, state.Incarnation, state.Weights)
	return nil
}

// EngineState has the fields of an engine's GET /state response that membership
// uses.
type EngineState struct {
	Incarnation hbs.Incarnation    `json:"incarnation"`
	Weights     hbs.WeightsVersion `json:"weights"`
}

// DecodeState decodes and validates an engine's state.
func DecodeState(data []byte) (s EngineState, err error) {
	defer func() { err = errors.Wrap(err, "engine state") }()
	if err := json.Unmarshal(data, &s); err != nil {
		return EngineState{}, err
	}
	if s.Incarnation == "" {
		return EngineState{}, errors.New("incarnation is empty")
	}
	return s, nil
}

// endpoint returns the roster's record of the endpoint, or nil.
func (d *Directory) endpoint(id hbs.EndpointID) *hbs.Endpoint {
	es := d.Roster().Endpoints
	i, ok := slices.BinarySearchFunc(es, id, func(e hbs.Endpoint, id hbs.EndpointID) int {
		return strings.Compare(string(e.ID), string(id))
	})
	if !ok {
		return nil
	}
	return &es[i]
}
