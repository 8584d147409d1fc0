package membership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	standin "github.com/hornbeamstage/hornbeamstage/standin/platform"
)

var suite *testing.T

func TestMembership(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var engineAddress = netip.MustParseAddrPort("10.2.0.1:9000")

// harness runs a directory whose list has one engine, "e".
type harness struct {
	*WithT
	ctx       context.Context
	fabric    *memnet.Fabric
	objects   *mirror.Set
	directory *membership.Directory
	revision  hbs.Revision
	wg        conc.WaitGroup
	peers     []hbs.Instance
}

func withHarness(body func(h *harness)) {
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := &harness{WithT: NewWithT(t), ctx: ctx, fabric: &memnet.Fabric{}, objects: &mirror.Set{}}
		registry := metrics.NewRegistry()
		h.directory = &membership.Directory{
			Record: instance("self", "a"), Objects: h.objects, Network: h.fabric.Network("a"),
			Config:  &config.Store{Objects: h.objects, Metrics: registry, Log: zap.NewNop()},
			Alive:   func() []hbs.Instance { return append([]hbs.Instance{instance("self", "a")}, h.peers...) },
			Policy:  knob.NewFixed(membership.Knobs, platform.Knobs),
			Metrics: registry, Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(1, 1)),
		}
		h.listEndpoint(hbs.StateLive, "")
		body(h)
		cancel()
		h.wg.Wait()
		time.Sleep(network.DialTimeout)
	})
}

func (h *harness) run() {
	h.wg.Go(func() { _ = h.directory.Config.Run(h.ctx) })
	h.wg.Go(func() { _ = h.directory.Run(h.ctx) })
	time.Sleep(time.Second)
}

func instance(id hbs.InstanceID, domain hbs.DomainName) hbs.Instance {
	return hbs.Instance{ID: id, Domain: domain, State: hbs.InstanceLive, PeerAddress: netip.MustParseAddrPort("10.1.0.1:7000")}
}

// put stores an object as the platform's watch would.
func (h *harness) put(kind hbs.ObjectKind, name string, v any) {
	value, err := json.Marshal(v)
	h.Expect(err).NotTo(HaveOccurred())
	h.revision++
	h.objects.Adopt([]mirror.Update{{Kind: kind, Name: name, Revision: h.revision, Value: value}})
}

func (h *harness) listEndpoint(state hbs.EndpointState, inc hbs.Incarnation) {
	h.put(hbs.ObjectEndpoint, "e", hbs.Endpoint{ID: "e", Kind: hbs.KindEngine, Domain: "z", Address: engineAddress,
		State: state, Incarnation: inc, Model: "m", Slots: 1})
}

// startEngine answers GET /state with incarnation inc until stop is called.
func (h *harness) startEngine(inc hbs.Incarnation) (stop func()) {
	l, err := h.fabric.Network("a").Listen(engineAddress)
	h.Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, fmt.Sprintf(`{"incarnation":%q,"weights":"w"}`, inc))
	})}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(l) })
	return func() {
		srv.Close()
		wg.Wait()
	}
}

func (h *harness) endpoint() hbs.Endpoint { return h.directory.Roster().Endpoints[0] }

// waitForState fails the test if the endpoint has not reached state within limit.
func (h *harness) waitForState(state hbs.EndpointState, limit time.Duration) {
	h.THelper()
	start := time.Now()
	for h.endpoint().State != state {
		h.Expect(time.Since(start)).To(BeNumerically("<", limit), "state is %s, want %s", h.endpoint().State, state)
		time.Sleep(time.Millisecond)
	}
}

var _ = Describe("an endpoint", func() {
	It("becomes suspect at once when an attempt can't connect, and live again when a probe succeeds (rules 2 and 3)", func() {
		withHarness(func(h *harness) {
			h.run()
			h.directory.Report("e", hbs.AttemptResult{End: hbs.EndUnreached})
			h.Expect(h.endpoint().State).To(Equal(hbs.StateSuspect))
			time.Sleep(time.Minute)
			h.Expect(h.endpoint().State).To(Equal(hbs.StateSuspect))
			defer h.startEngine("i-2")()
			h.waitForState(hbs.StateLive, 4*time.Second)
			h.Expect(h.endpoint().Incarnation).To(BeEquivalentTo("i-2"))
		})
	})

	It("becomes suspect within 1 s of a broken answer if it crashed, and stays live if it did not (rule 2)", func() {
		withHarness(func(h *harness) {
			h.run()
			stop := h.startEngine("i-1")
			h.directory.Report("e", hbs.AttemptResult{End: hbs.EndBroken})
			time.Sleep(2 * time.Second)
			h.Expect(h.endpoint().State).To(Equal(hbs.StateLive))
			stop()
			h.directory.Report("e", hbs.AttemptResult{End: hbs.EndBroken})
			h.waitForState(hbs.StateSuspect, time.Second)
		})
	})

	It("becomes suspect within 1 s when a network partition cuts it off (rule 2)", func() {
		withHarness(func(h *harness) {
			h.run()
			defer h.startEngine("i-1")()
			h.fabric.Partition("a", "a")
			h.directory.Report("e", hbs.AttemptResult{End: hbs.EndBroken})
			h.waitForState(hbs.StateSuspect, time.Second)
			h.fabric.Heal("a", "a")
			h.waitForState(hbs.StateLive, 4*time.Second)
		})
	})

	It("is probed on a peer's report, and becomes suspect only if the probe fails (rule 2)", func() {
		withHarness(func(h *harness) {
			h.run()
			section := membership.Suspicions{Directory: h.directory}
			stop := h.startEngine("i-1")
			digest, err := cbor.Marshal([]hbs.EndpointID{"e", "nobody"})
			h.Expect(err).NotTo(HaveOccurred())
			h.Expect(section.Merge(instance("other", "a"), digest)).To(Succeed())
			time.Sleep(2 * time.Second)
			h.Expect(h.endpoint().State).To(Equal(hbs.StateLive))
			stop()
			h.Expect(section.Merge(instance("other", "a"), digest)).To(Succeed())
			h.waitForState(hbs.StateSuspect, time.Second)
			var reported []hbs.EndpointID
			h.Expect(cbor.Unmarshal(section.Digest(100), &reported)).To(Succeed())
			h.Expect(reported).To(Equal([]hbs.EndpointID{"e"}))
			h.Expect(section.Digest(1)).To(BeNil())
		})
	})

	It("ignores late answers and list records of a replaced incarnation (rule 4)", func() {
		withHarness(func(h *harness) {
			h.run()
			report := func(inc hbs.Incarnation) {
				h.directory.Report("e", hbs.AttemptResult{End: hbs.EndComplete, Incarnation: inc})
				synctest.Wait()
			}
			report("i-1")
			report("i-2")
			report("i-1")
			h.Expect(h.endpoint().Incarnation).To(BeEquivalentTo("i-2"))
			h.listEndpoint(hbs.StateLive, "i-1")
			synctest.Wait()
			h.Expect(h.endpoint().Incarnation).To(BeEquivalentTo("i-2"))
			h.listEndpoint(hbs.StateLive, "i-3")
			synctest.Wait()
			h.Expect(h.endpoint().Incarnation).To(BeEquivalentTo("i-3"))
		})
	})

	It("gets no new work when the list reports it as leaving or an operator drains it (rule 5)", func() {
		withHarness(func(h *harness) {
			h.run()
			drain := config.Drain{Endpoint: "e", Reason: "r"}
			h.put(hbs.ObjectConfiguration, config.DrainName("e"), drain)
			h.waitForState(hbs.StateDraining, 10*time.Millisecond)
			h.revision++
			h.objects.Adopt([]mirror.Update{{Kind: hbs.ObjectConfiguration, Name: config.DrainName("e"), Revision: h.revision, Deleted: true}})
			h.waitForState(hbs.StateLive, 10*time.Millisecond)
			h.listEndpoint(hbs.StateLeaving, "")
			h.waitForState(hbs.StateLeaving, 10*time.Millisecond)
		})
	})

	It("stays in use when no instance of its domain is live (rule 6)", func() {
		withHarness(func(h *harness) {
			h.run()
			h.Expect(h.endpoint().Domain).To(BeEquivalentTo("z"))
			h.Expect(h.endpoint().State).To(Equal(hbs.StateLive))
		})
	})
})

var _ = Describe("instances", func() {
	It("are those with heartbeats in the local domain and those listed in others (rule 6)", func() {
		withHarness(func(h *harness) {
			h.put(hbs.ObjectInstance, "stopped", instance("stopped", "a"))
			h.put(hbs.ObjectInstance, "far", instance("far", "z"))
			h.peers = []hbs.Instance{instance("live", "a")}
			h.run()
			var ids []hbs.InstanceID
			for _, i := range h.directory.Roster().Instances {
				ids = append(ids, i.ID)
			}
			h.Expect(ids).To(Equal([]hbs.InstanceID{"far", "live", "self"}))
		})
	})

	It("register, announce that they leave, withdraw, and have their records deleted after a crash", func() {
		withHarness(func(h *harness) {
			address := netip.MustParseAddrPort("10.0.0.1:80")
			store := &standin.Platform{Address: address, Network: h.fabric.Network("a"), Seed: 1}
			client := &platform.Client{Address: address, Network: h.fabric.Network("a"), Timeout: time.Second, ReadsPerSecond: 50,
				WritesPerSecond: 50, Policy: h.directory.Policy, Metrics: metrics.NewRegistry()}
			h.directory.Platform = client
			h.directory.IsRepresentative = func() bool { return true }
			h.Expect(store.Put(hbs.ObjectInstance, "crashed", instance("crashed", "a"))).To(Succeed())
			h.objects.Adopt([]mirror.Update{{Kind: hbs.ObjectInstance, Name: "crashed", Revision: 1, Value: store.Peek(hbs.ObjectInstance, "crashed")}})
			h.wg.Go(func() { _ = store.Run(h.ctx) })
			h.wg.Go(func() { _ = client.Run(h.ctx) })
			store.Outage(3 * time.Second)
			h.run()
			h.Expect(store.Peek(hbs.ObjectInstance, "self")).To(BeNil())
			time.Sleep(5 * time.Second)
			h.Expect(store.Peek(hbs.ObjectInstance, "self")).NotTo(BeNil())
			h.Expect(h.directory.Leave(h.ctx)).To(Succeed())
			h.Expect(h.directory.Self().State).To(Equal(hbs.InstanceLeaving))
			h.Expect(string(store.Peek(hbs.ObjectInstance, "self"))).To(ContainSubstring("leaving"))
			time.Sleep(15 * time.Minute)
			h.Expect(store.Peek(hbs.ObjectInstance, "crashed")).To(BeNil())
			h.Expect(h.directory.Withdraw(h.ctx)).To(Succeed())
			h.Expect(store.Peek(hbs.ObjectInstance, "self")).To(BeNil())
		})
	})
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"incarnation":"i","weights":"w","id":"e","kind":"engine","domain":"d","address":"1.2.3.4:5","state":"live","slots":1,"model":"m"}`))
	f.Add([]byte("\x82\x61e\x61f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = membership.DecodeState(data)
		_, _ = mirror.DecodeInstance("e", data)
		if e, err := mirror.DecodeEndpoint("e", data); err == nil && e.Slots < 1 {
			t.Fatalf("accepted %+v", e)
		}
		d := &membership.Directory{Objects: &mirror.Set{}, Metrics: metrics.NewRegistry()}
		_ = membership.Suspicions{Directory: d}.Merge(hbs.Instance{}, data)
	})
}
