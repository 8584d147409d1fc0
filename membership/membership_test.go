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

// bench is a directory with one engine on its list.
type bench struct {
	*WithT
	ctx       context.Context
	fabric    *memnet.Fabric
	objects   *mirror.Set
	directory *membership.Directory
	revision  hbs.Revision
	wg        conc.WaitGroup
	others    []hbs.Instance
}

func inBubble(body func(b *bench)) {
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := &bench{WithT: NewWithT(t), ctx: ctx, fabric: &memnet.Fabric{}, objects: &mirror.Set{}}
		registry := metrics.NewRegistry()
		b.directory = &membership.Directory{
			Record: instance("self", "a"), Objects: b.objects, Network: b.fabric.Network("a"),
			Config:  &config.Store{Objects: b.objects, Metrics: registry, Log: zap.NewNop()},
			Alive:   func() []hbs.Instance { return append([]hbs.Instance{instance("self", "a")}, b.others...) },
			Policy:  knob.NewFixed(membership.Knobs, platform.Knobs),
			Metrics: registry, Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(1, 1)),
		}
		b.list(hbs.StateLive, "")
		body(b)
		cancel()
		b.wg.Wait()
		time.Sleep(network.DialTimeout)
	})
}

func (b *bench) run() {
	b.wg.Go(func() { _ = b.directory.Config.Run(b.ctx) })
	b.wg.Go(func() { _ = b.directory.Run(b.ctx) })
	time.Sleep(time.Second)
}

func instance(id hbs.InstanceID, domain hbs.DomainName) hbs.Instance {
	return hbs.Instance{ID: id, Domain: domain, State: hbs.InstanceLive, PeerAddress: netip.MustParseAddrPort("10.1.0.1:7000")}
}

// put stores an object as the platform's watch would.
func (b *bench) put(kind hbs.ObjectKind, name string, v any) {
	value, err := json.Marshal(v)
	b.Expect(err).NotTo(HaveOccurred())
	b.revision++
	b.objects.Adopt([]mirror.Update{{Kind: kind, Name: name, Revision: b.revision, Value: value}})
}

func (b *bench) list(state hbs.EndpointState, inc hbs.Incarnation) {
	b.put(hbs.ObjectEndpoint, "e", hbs.Endpoint{ID: "e", Kind: hbs.KindEngine, Domain: "z", Address: engineAddress,
		State: state, Incarnation: inc, Model: "m", Slots: 1})
}

// engine answers GET /state as incarnation inc until stop is called.
func (b *bench) engine(inc hbs.Incarnation) (stop func()) {
	l, err := b.fabric.Network("a").Listen(engineAddress)
	b.Expect(err).NotTo(HaveOccurred())
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

func (b *bench) endpoint() hbs.Endpoint { return b.directory.Roster().Endpoints[0] }

// becomes waits until the endpoint has the state and returns how long it took.
func (b *bench) becomes(state hbs.EndpointState, limit time.Duration) {
	b.THelper()
	began := time.Now()
	for b.endpoint().State != state {
		b.Expect(time.Since(began)).To(BeNumerically("<", limit), "state is %s, want %s", b.endpoint().State, state)
		time.Sleep(time.Millisecond)
	}
}

var _ = Describe("an endpoint", func() {
	It("gets no new work at once after an attempt did not reach it, and is probed back (rules 2 and 3)", func() {
		inBubble(func(b *bench) {
			b.run()
			b.directory.Report("e", hbs.AttemptResult{End: hbs.EndUnreached})
			b.Expect(b.endpoint().State).To(Equal(hbs.StateSuspect))
			time.Sleep(time.Minute)
			b.Expect(b.endpoint().State).To(Equal(hbs.StateSuspect))
			defer b.engine("i-2")()
			b.becomes(hbs.StateLive, 4*time.Second)
			b.Expect(b.endpoint().Incarnation).To(BeEquivalentTo("i-2"))
		})
	})

	It("is suspect within 1 s of a broken answer when it crashed, and not when it lives (rule 2)", func() {
		inBubble(func(b *bench) {
			b.run()
			stop := b.engine("i-1")
			b.directory.Report("e", hbs.AttemptResult{End: hbs.EndBroken})
			time.Sleep(2 * time.Second)
			b.Expect(b.endpoint().State).To(Equal(hbs.StateLive))
			stop()
			b.directory.Report("e", hbs.AttemptResult{End: hbs.EndBroken})
			b.becomes(hbs.StateSuspect, time.Second)
		})
	})

	It("is suspect within 1 s when it is cut off and answers nothing (rule 2)", func() {
		inBubble(func(b *bench) {
			b.run()
			defer b.engine("i-1")()
			b.fabric.Cut("a", "a")
			b.directory.Report("e", hbs.AttemptResult{End: hbs.EndBroken})
			b.becomes(hbs.StateSuspect, time.Second)
			b.fabric.Heal("a", "a")
			b.becomes(hbs.StateLive, 4*time.Second)
		})
	})

	It("is probed on a peer's word, not condemned by it (rule 2)", func() {
		inBubble(func(b *bench) {
			b.run()
			section := membership.Suspicions{Directory: b.directory}
			stop := b.engine("i-1")
			word, err := cbor.Marshal([]hbs.EndpointID{"e", "nobody"})
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(section.Absorb(instance("other", "a"), word)).To(Succeed())
			time.Sleep(2 * time.Second)
			b.Expect(b.endpoint().State).To(Equal(hbs.StateLive))
			stop()
			b.Expect(section.Absorb(instance("other", "a"), word)).To(Succeed())
			b.becomes(hbs.StateSuspect, time.Second)
			var told []hbs.EndpointID
			b.Expect(cbor.Unmarshal(section.Digest(100), &told)).To(Succeed())
			b.Expect(told).To(Equal([]hbs.EndpointID{"e"}))
			b.Expect(section.Digest(1)).To(BeNil())
		})
	})

	It("has a new incarnation that late answers of the old one don't undo (rule 4)", func() {
		inBubble(func(b *bench) {
			b.run()
			tell := func(inc hbs.Incarnation) {
				b.directory.Report("e", hbs.AttemptResult{End: hbs.EndComplete, Incarnation: inc})
				synctest.Wait()
			}
			tell("i-1")
			tell("i-2")
			tell("i-1")
			b.Expect(b.endpoint().Incarnation).To(BeEquivalentTo("i-2"))
			b.list(hbs.StateLive, "i-1")
			synctest.Wait()
			b.Expect(b.endpoint().Incarnation).To(BeEquivalentTo("i-2"))
			b.list(hbs.StateLive, "i-3")
			synctest.Wait()
			b.Expect(b.endpoint().Incarnation).To(BeEquivalentTo("i-3"))
		})
	})

	It("gets no new work when the list calls it leaving or an operator drains it (rule 5)", func() {
		inBubble(func(b *bench) {
			b.run()
			drain := config.Drain{Endpoint: "e", Reason: "r"}
			b.put(hbs.ObjectConfiguration, config.DrainName("e"), drain)
			b.becomes(hbs.StateDraining, 10*time.Millisecond)
			b.revision++
			b.objects.Adopt([]mirror.Update{{Kind: hbs.ObjectConfiguration, Name: config.DrainName("e"), Revision: b.revision, Deleted: true}})
			b.becomes(hbs.StateLive, 10*time.Millisecond)
			b.list(hbs.StateLeaving, "")
			b.becomes(hbs.StateLeaving, 10*time.Millisecond)
		})
	})

	It("stays in use when no instance of its domain lives (rule 6)", func() {
		inBubble(func(b *bench) {
			b.run()
			b.Expect(b.endpoint().Domain).To(BeEquivalentTo("z"))
			b.Expect(b.endpoint().State).To(Equal(hbs.StateLive))
		})
	})
})

var _ = Describe("instances", func() {
	It("are those heard in the own domain and those listed in others (rule 6)", func() {
		inBubble(func(b *bench) {
			b.put(hbs.ObjectInstance, "silent", instance("silent", "a"))
			b.put(hbs.ObjectInstance, "far", instance("far", "z"))
			b.others = []hbs.Instance{instance("heard", "a")}
			b.run()
			var ids []hbs.InstanceID
			for _, i := range b.directory.Roster().Instances {
				ids = append(ids, i.ID)
			}
			b.Expect(ids).To(Equal([]hbs.InstanceID{"far", "heard", "self"}))
		})
	})

	It("register, say that they leave, withdraw, and are forgotten when they crashed", func() {
		inBubble(func(b *bench) {
			address := netip.MustParseAddrPort("10.0.0.1:80")
			store := &standin.Platform{Address: address, Network: b.fabric.Network("a"), Seed: 1}
			client := &platform.Client{Address: address, Network: b.fabric.Network("a"), Timeout: time.Second, ReadsPerSecond: 50,
				WritesPerSecond: 50, Policy: b.directory.Policy, Metrics: metrics.NewRegistry()}
			b.directory.Platform = client
			b.directory.Chosen = func() bool { return true }
			b.Expect(store.Put(hbs.ObjectInstance, "crashed", instance("crashed", "a"))).To(Succeed())
			b.objects.Adopt([]mirror.Update{{Kind: hbs.ObjectInstance, Name: "crashed", Revision: 1, Value: store.Peek(hbs.ObjectInstance, "crashed")}})
			b.wg.Go(func() { _ = store.Run(b.ctx) })
			b.wg.Go(func() { _ = client.Run(b.ctx) })
			store.Outage(3 * time.Second)
			b.run()
			b.Expect(store.Peek(hbs.ObjectInstance, "self")).To(BeNil())
			time.Sleep(5 * time.Second)
			b.Expect(store.Peek(hbs.ObjectInstance, "self")).NotTo(BeNil())
			b.Expect(b.directory.Leave(b.ctx)).To(Succeed())
			b.Expect(b.directory.Self().State).To(Equal(hbs.InstanceLeaving))
			b.Expect(string(store.Peek(hbs.ObjectInstance, "self"))).To(ContainSubstring("leaving"))
			time.Sleep(15 * time.Minute)
			b.Expect(store.Peek(hbs.ObjectInstance, "crashed")).To(BeNil())
			b.Expect(b.directory.Withdraw(b.ctx)).To(Succeed())
			b.Expect(store.Peek(hbs.ObjectInstance, "self")).To(BeNil())
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
		_ = membership.Suspicions{Directory: d}.Absorb(hbs.Instance{}, data)
	})
}
