package membership

import (
	"context"
	"encoding/json"
	"io"
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
	// probeBacklog bounds the endpoints that wait for a first probe; a later
	// attempt or digest asks again for one that found it full.
	probeBacklog = 1024
	maxProbes    = 16
	maxStateBody = 64 << 10
	// probeTick is the resolution of the probes' schedule.
	probeTick = 50 * time.Millisecond
)

// schedule says when an endpoint is probed next.
type schedule struct {
	at    time.Time
	pause time.Duration
}

// result is the end of a probe.
type result struct {
	id  hbs.EndpointID
	err error
}

// probeDuty probes endpoints in doubt until they answer (rules 2 and 3).
func (d *Directory) probeDuty(ctx context.Context) error {
	p := prober{
		Directory: d,
		transport: network.Transport(d.Network),
		due:       map[hbs.EndpointID]schedule{},
		busy:      map[hbs.EndpointID]bool{},
		results:   make(chan result, maxProbes),
	}
	defer p.transport.CloseIdleConnections()
	running := pool.New().WithMaxGoroutines(maxProbes)
	defer running.Wait()
	tick := time.NewTicker(probeTick)
	defer tick.Stop()
	for {
		select {
		case id := <-d.probes:
			p.ask(id)
		case r := <-p.results:
			p.settle(r)
		case <-p.ticks(tick):
		case <-ctx.Done():
			return ctx.Err()
		}
		p.start(ctx, running)
	}
}

// ticks returns the ticker's channel while any probe is due later, else nil:
// waking an idle process for nothing costs more than the probes.
func (p *prober) ticks(t *time.Ticker) <-chan time.Time {
	if len(p.due) == 0 {
		return nil
	}
	return t.C
}

// prober is the state of the probing goroutine.
type prober struct {
	*Directory
	transport *http.Transport
	due       map[hbs.EndpointID]schedule
	busy      map[hbs.EndpointID]bool
	results   chan result
}

func (p *prober) ask(id hbs.EndpointID) {
	if _, ok := p.due[id]; !ok {
		p.due[id] = schedule{at: time.Now()}
	}
}

func (p *prober) start(ctx context.Context, running *pool.Pool) {
	now := time.Now()
	for _, id := range p.ready(now) {
		e := p.endpoint(id)
		if e == nil {
			delete(p.due, id)
			continue
		}
		p.busy[id] = true
		running.Go(func() {
			r := result{id, p.probe(ctx, e)}
			select {
			case p.results <- r:
			case <-ctx.Done():
			}
		})
	}
}

// ready returns the endpoints to probe now, as many as may run.
func (p *prober) ready(now time.Time) []hbs.EndpointID {
	var ids []hbs.EndpointID
	for id, s := range p.due {
		if !p.busy[id] && !s.at.After(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxProbes-len(p.busy))]
}

func (p *prober) settle(r result) {
	delete(p.busy, r.id)
	p.counter(meterProbes).Inc(1)
	if r.err == nil {
		delete(p.due, r.id)
		p.evidence.clear(r.id)
		p.Refresh()
		return
	}
	if p.evidence.suspect(r.id) {
		p.counter(meterSuspected).Inc(1)
		p.Refresh()
	}
	s := p.due[r.id]
	shortest := p.Policy.Duration(KnobProbeInterval, hbs.Scope{})
	longest := p.Policy.Duration(KnobProbeMax, hbs.Scope{})
	s.pause = min(max(2*s.pause, shortest), longest)
	s.at = time.Now().Add(s.pause/2 + time.Duration(p.Rand.Int64N(int64(s.pause))))
	p.due[r.id] = s
}

// probe asks an engine for its state; of a plain service it is enough that it
// takes connections.
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
		return errors.Newf("answered %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBody))
	if err != nil {
		return err
	}
	state, err := DecodeState(body)
	if err != nil {
		return err
	}
	p.evidence.answered(e.ID, state.Incarnation, state.Weights)
	return nil
}

// EngineState is what an engine says of itself at GET /state, as far as
// membership needs it.
type EngineState struct {
	Incarnation hbs.Incarnation    `json:"incarnation"`
	Weights     hbs.WeightsVersion `json:"weights"`
}

// DecodeState decodes and checks an engine's state.
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

// endpoint returns the roster's record, or nil.
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
