package replay_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/replay"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

var suite *testing.T

func TestReplay(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

// naiveRouter is a router without any guarantee: it proxies round-robin, sends all
// prompts without a cache salt and breaks off running requests when it stops.
type naiveRouter struct {
	p        replay.Process
	engines  []netip.AddrPort
	services []netip.AddrPort
	// twice makes it send each service call twice.
	twice bool
	next  atomic.Uint32
	stop  context.CancelFunc
}

func (c *naiveRouter) run(ctx context.Context) error {
	ctx, c.stop = context.WithCancel(ctx)
	transport := network.NewTransport(c.p.Network)
	proxy := &httputil.ReverseProxy{
		Rewrite:       func(r *httputil.ProxyRequest) { c.route(r.Out) },
		Transport:     transport,
		FlushInterval: -1,
		ErrorHandler:  func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) },
	}
	ready := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	var wg conc.WaitGroup
	for addr, h := range map[netip.AddrPort]http.Handler{
		c.p.Settings.Listen.Callers:   proxy,
		c.p.Settings.Listen.Operators: ready,
	} {
		l, err := c.p.Network.Listen(addr)
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: h}
		wg.Go(func() { _ = srv.Serve(l) })
		wg.Go(func() {
			<-ctx.Done()
			srv.Close()
		})
	}
	wg.Wait()
	transport.CloseIdleConnections()
	return nil
}

func (c *naiveRouter) route(r *http.Request) {
	to := c.engines
	if strings.HasPrefix(r.URL.Path, "/services/") {
		to = c.services
	}
	target := to[int(c.next.Add(1))%len(to)]
	// Read the whole body first: the server closes it once the answer begins.
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	if c.twice && r.Method == http.MethodPost && len(to) == len(c.services) {
		again := &http.Client{Transport: network.NewTransport(c.p.Network)}
		if resp, err := again.Post("http://"+target.String()+r.URL.Path, "", strings.NewReader(string(body))); err == nil {
			resp.Body.Close()
		}
		again.CloseIdleConnections()
	}
	r.URL = &url.URL{Scheme: "http", Host: target.String(), Path: r.URL.Path, RawQuery: r.URL.RawQuery}
}

// startNaive returns a Starter of naive routers for the fleet of small.
func startNaive(twice bool) replay.Starter {
	return func(p replay.Process) replay.Node {
		c := &naiveRouter{p: p, twice: twice}
		for i := range 2 {
			c.engines = append(c.engines, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 102, byte(i + 1)}), 9000))
		}
		c.services = []netip.AddrPort{netip.MustParseAddrPort("127.0.103.1:9000")}
		return replay.Node{Run: c.run, Stop: func() { c.stop() }}
	}
}

const (
	smallSeconds = 6.0
	smallEvery   = 0.1
)

// small is a trace of two workspaces with a common prompt prefix and of calls that
// must not run twice.
func small() *trace.Trace {
	t := &trace.Trace{Header: trace.Header{
		Version:    trace.Version,
		Name:       "small",
		Seconds:    smallSeconds,
		Workspaces: []trace.Workspace{{ID: "w1"}, {ID: "w2"}},
		Fleet: trace.Fleet{
			Domains:   []hbs.DomainName{"a", "b"},
			Instances: 2,
			Engines: []trace.EngineGroup{{
				Model: "m", Weights: "v1", Count: 2,
				Shape: engine.Shape{Slots: 8, CacheTokens: 20000, PrefillRate: 10000, ChunkTokens: 200, StepBase: 0.02, StepPerStream: 0.001},
			}},
			Services: []trace.ServiceGroup{{Service: "jobs", Count: 1, Slots: 4}},
		},
	}}
	for at := 0.0; at < smallSeconds; at += smallEvery {
		q := trace.Request{At: at, ID: "r" + time.Duration(at*1e9).String(), Workspace: "w1", Class: hbs.ClassRepeatable, DeadlineSeconds: 4}
		switch len(t.Requests) % 3 {
		case 0:
			q.Service, q.Method, q.Path, q.Class, q.WorkSeconds = "jobs", http.MethodPost, "/bookings", hbs.ClassOnce, 0.05
		case 1:
			q.Workspace = "w2"
			fallthrough
		default:
			q.Model, q.Output, q.Segments = "m", 20, []trace.Segment{{ID: "code", Tokens: 500}, {ID: q.ID, Tokens: 30}}
		}
		t.Requests = append(t.Requests, q)
	}
	return t
}

func play(g *WithT, twice bool, faults ...replay.Fault) *replay.Report {
	r := &replay.Replay{
		Trace:  small(),
		Start:  startNaive(twice),
		Seed:   1,
		Clock:  replay.ClockVirtual,
		Faults: faults,
		Log:    zap.NewNop(),
	}
	rep, err := r.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	return rep
}

var _ = Describe("Replay", func() {
	It("measures what callers and engines saw", func() {
		synctest(func(g *WithT) {
			rep := play(g, false)
			g.Expect(rep.Answered).To(Equal(rep.Requests))
			g.Expect(rep.PrefixHitRate).To(BeNumerically(">", 0.8))
			g.Expect(rep.TTFT.P50).To(BeNumerically(">", 0.02))
			g.Expect(rep.InterToken.P50).To(BeNumerically("~", 0.025, 0.01))
			g.Expect(json.Marshal(rep)).NotTo(BeEmpty())
		})
	})

	It("reports a cache salt that two workspaces share", func() {
		synctest(func(g *WithT) {
			g.Expect(play(g, false).Violations).To(HaveKey(replay.ViolationStaleCacheUse))
		})
	})

	It("reports a call of class once that ran twice", func() {
		synctest(func(g *WithT) {
			g.Expect(play(g, true).Violations).To(HaveKey(replay.ViolationRanTwice))
		})
	})

	It("reports a crossed answer", func() {
		synctest(func(g *WithT) {
			rep := play(g, false, replay.Fault{AtSeconds: 1, Kind: replay.FaultEngineCross, Target: "m-*", Times: 2})
			g.Expect(rep.Violations).To(HaveKey(replay.ViolationCrossedAnswer))
		})
	})

	It("reports streams that an engine's crash ended without an error", func() {
		synctest(func(g *WithT) {
			rep := play(g, false, replay.Fault{AtSeconds: 2, Kind: replay.FaultEngineCrash, Target: "m-01", ForSeconds: 1})
			g.Expect(rep.Violations).To(HaveKey(replay.ViolationLostWithoutOutcome))
		})
	})

	It("reports requests broken off by a graceful stop, but not those by a kill", func() {
		synctest(func(g *WithT) {
			rep := play(g, false, replay.Fault{AtSeconds: 2.45, Kind: replay.FaultInstanceStop, Target: "i*", ForSeconds: 0.1})
			g.Expect(rep.Violations).To(HaveKey(replay.ViolationCutByPlannedStop))
			rep = play(g, false, replay.Fault{AtSeconds: 2.45, Kind: replay.FaultInstanceKill, Target: "i*", ForSeconds: 0.1})
			g.Expect(rep.Violations).NotTo(HaveKey(replay.ViolationLostWithoutOutcome), "%v", rep.Examples)
			g.Expect(rep.Reasons).To(HaveKey("connection_lost"))
		})
	})

	It("reports work dispatched to a leaving endpoint", func() {
		synctest(func(g *WithT) {
			rep := play(g, false, replay.Fault{AtSeconds: 0.5, Kind: replay.FaultEndpointLeaving, Target: "m-01"})
			g.Expect(rep.Violations).To(HaveKey(replay.ViolationDispatchedToLeaving))
		})
	})
})

func synctest(f func(g *WithT)) {
	replay.Bubble(suite, func() { f(NewWithT(suite)) })
}
