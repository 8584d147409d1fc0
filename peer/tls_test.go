package peer_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/standin/authority"
)

const trustDomain = "fleet.example"

// withInstances returns a change to a certificate that adds the names of instances.
func withInstances(ids ...hbs.InstanceID) func(*x509.Certificate) {
	return func(c *x509.Certificate) {
		for _, id := range ids {
			c.URIs = append(c.URIs, peer.IdentityURI(trustDomain, id))
		}
	}
}

// withURI returns a change to a certificate that adds a URI.
func withURI(text string) func(*x509.Certificate) {
	return func(c *x509.Certificate) {
		u, err := url.Parse(text)
		Expect(err).NotTo(HaveOccurred())
		c.URIs = append(c.URIs, u)
	}
}

// testCA issues certificates into a temporary directory.
type testCA struct {
	*authority.Authority
	dir string
}

func newTestCA() *testCA {
	dir := GinkgoT().TempDir()
	a, err := authority.New(dir)
	Expect(err).NotTo(HaveOccurred())
	return &testCA{a, dir}
}

// issueTLS issues a certificate for instance id to files of the given name. Each
// node needs its own name, because a running node reloads changed files.
func (a *testCA) issueTLS(name string, id hbs.InstanceID, alter func(*x509.Certificate)) *peer.TLS {
	a.writeCert(name, alter)
	return &peer.TLS{Instance: id, TrustDomain: trustDomain, Certificate: a.File(name), Key: a.File(name + "-key"), Authority: a.File(authority.CertName)}
}

// writeCert issues a certificate and writes it and its key to files.
func (a *testCA) writeCert(name string, alter func(*x509.Certificate)) {
	Expect(a.Issue(a.dir, name, alter)).To(Succeed())
}

// insecureConfig returns a TLS configuration with the certificate of keys that
// accepts any certificate of the other side.
func insecureConfig(keys *peer.TLS) *tls.Config {
	cert, err := tls.LoadX509KeyPair(keys.Certificate, keys.Key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{cert}, ClientAuth: tls.RequireAnyClientCert, InsecureSkipVerify: true, NextProtos: []string{"h2"}}
}

// tryPull calls the instance at addr with the certificate of keys.
func (f *fleet) tryPull(keys *peer.TLS, addr int) error {
	return f.invoke(keys, addr, "Pull", &peer.Pull{Kind: hbs.ObjectEndpoint}, &peer.Updates{})
}

// invoke calls a method of the instance at addr with the certificate of keys.
func (f *fleet) invoke(keys *peer.TLS, addr int, method string, q, a any) error {
	conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(credentials.NewTLS(insecureConfig(keys))),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			return f.fabric.Network("a").Dial(ctx, peerAddress(addr))
		}), grpc.WithDefaultCallOptions(grpc.ForceCodec(peer.Codec{})))
	f.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
	defer cancel()
	return conn.Invoke(metadata.AppendToOutgoingContext(ctx, "hornbeamstage-protocol", "1"), "/hornbeamstage.peer/"+method, q, a)
}

// countCalls listens at addr for 5 s with the certificate of keys and returns the
// number of calls received.
func (f *fleet) countCalls(keys *peer.TLS, addr int) int64 {
	var n atomic.Int64
	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(insecureConfig(keys))),
		grpc.UnknownServiceHandler(func(any, grpc.ServerStream) error { n.Add(1); return nil }))
	listener, err := f.fabric.Network("a").Listen(peerAddress(addr))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.wg.Go(func() { _ = server.Serve(listener) })
	time.Sleep(5 * time.Second)
	server.Stop()
	return n.Load()
}

func counterValue(n *node, name string) int64 {
	return n.server.Metrics.GetOrRegister(name, metrics.NewCounter).(metrics.Counter).Count()
}

const (
	identitiesRefused = "peer_identities_refused"
	keysUnusable      = "peer_keys_unusable"
)

var _ = Describe("keys between instances", func() {
	// The holder of the certificate calls i-00, and i-00 calls the holder at the
	// address of a seed.
	DescribeTable("keep out callers and servers without an instance name (rule 7)", func(good bool, ours bool, counted bool, alter func(*x509.Certificate)) {
		a, b := newTestCA(), newTestCA()
		withFleet(func(f *fleet) {
			f.seeds = append(f.seeds, peerAddress(1))
			f.keys = func(int) *peer.TLS { return a.issueTLS("i-00", "i-00", withInstances("i-00")) }
			n := f.start("a")
			time.Sleep(time.Second)
			issuer := b
			if ours {
				issuer = a
			}
			holder := issuer.issueTLS("holder", "holder", alter)
			err := f.tryPull(holder, 0)
			f.g.Expect(err == nil).To(Equal(good), "%v", err)
			f.g.Expect(f.countCalls(holder, 1) > 0).To(Equal(good))
			f.g.Expect(counterValue(n, identitiesRefused) > 0).To(Equal(counted))
		})
	},
		Entry("named", true, true, false, withInstances("holder")),
		Entry("two names", true, true, false, withInstances("x", "holder")),
		Entry("no name", false, true, true, withInstances()),
		Entry("DNS name and common name alone", false, true, true, func(c *x509.Certificate) { c.DNSNames = []string{"holder", "*.fleet.example"} }),
		Entry("the domain alone", false, true, true, withURI("spiffe://fleet.example")),
		Entry("empty id", false, true, true, withURI("spiffe://fleet.example/instance/")),
		Entry("other trust domain", false, true, true, withURI("spiffe://other.example/instance/holder")),
		Entry("wildcard trust domain", false, true, true, withURI("spiffe://*.example/instance/holder")),
		Entry("query after the id", false, true, true, withURI("spiffe://fleet.example/instance/holder?x=1")),
		Entry("expired", false, true, false, func(c *x509.Certificate) { withInstances("holder")(c); c.NotAfter = time.Unix(1, 0) }),
		Entry("other authority", false, false, false, withInstances("holder")),
	)

	DescribeTable("bind an instance to its ID on both sides, and log a mismatch once (rule 7)", func(id hbs.InstanceID) {
		a := newTestCA()
		withFleet(func(f *fleet) {
			core, logs := observer.New(zap.WarnLevel)
			f.log = zap.New(core)
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
			f.keys = func(i int) *peer.TLS {
				if i == 1 {
					return a.issueTLS("wrong", id, withInstances(id))
				}
				return a.issueTLS("right", "i-00", withInstances("i-00"))
			}
			f.start("a")
			f.start("a")
			time.Sleep(20 * time.Second)
			f.g.Expect(f.nodes[0].server.Alive()).To(HaveLen(1))
			f.g.Expect(counterValue(f.nodes[0], identitiesRefused)).To(BeNumerically(">", 10))
			wrong := logs.FilterMessage("peer's certificate does not name it")
			f.g.Expect(wrong.Len()).To(Equal(2))
			f.g.Expect(wrong.FilterField(zap.String("address", "10.1.0.1:7000")).Len()).To(Equal(1))
			for _, line := range wrong.All() {
				f.g.Expect(line.ContextMap()["error"]).To(ContainSubstring("certificate names " + string(id) + ", not i-01"))
			}
			f.g.Expect(logs.FilterMessage("peer refuses this instance's certificate").Len()).To(BeNumerically("<=", 2))
			// The next certificate names the instance.
			a.writeCert("wrong", withInstances(id, "i-01"))
			f.waitFor(5*time.Second, "joined", func() bool {
				return len(f.nodes[0].server.Alive()) == 2 && len(f.nodes[1].server.Alive()) == 2
			})
		})
	}, Entry("another's id", hbs.InstanceID("i-00")), Entry("a free id", hbs.InstanceID("i-07")), Entry("a wildcard", hbs.InstanceID("*")))

	It("let an instance ask only under its own ID (rule 7)", func() {
		a := newTestCA()
		withFleet(func(f *fleet) {
			f.keys = func(int) *peer.TLS { return a.issueTLS("i-00", "i-00", withInstances("i-00")) }
			n := f.start("a")
			var asked []hbs.InstanceID
			n.server.HandleAsk = func(from hbs.InstanceID, data []byte) ([]byte, error) {
				asked = append(asked, from)
				return data, nil
			}
			time.Sleep(time.Second)
			holder := a.issueTLS("holder", "holder", withInstances("holder"))
			for _, from := range []hbs.InstanceID{"i-05", "", "holder"} {
				var answer peer.Answer
				err := f.invoke(holder, 0, "Ask", &peer.Ask{From: from, Data: []byte("x")}, &answer)
				f.g.Expect(err == nil).To(Equal(from == "holder"), "%v", err)
			}
			f.g.Expect(asked).To(Equal([]hbs.InstanceID{"holder"}))
		})
	})

	It("are reloaded while connected, and the previous ones stay in use if the new ones are unusable", func() {
		a := newTestCA()
		withFleet(func(f *fleet) {
			core, logs := observer.New(zap.InfoLevel)
			f.log = zap.New(core)
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
			ids := []hbs.InstanceID{"i-00", "i-01"}
			f.keys = func(i int) *peer.TLS { return a.issueTLS(string(ids[i]), ids[i], withInstances(ids[i])) }
			f.start("a")
			f.start("a")
			joined := func() bool { return len(f.nodes[0].server.Alive()) == 2 && len(f.nodes[1].server.Alive()) == 2 }
			f.waitFor(5*time.Second, "joined", joined)
			for _, alter := range []func(*x509.Certificate){withInstances("i-01"), withInstances("i-09"), withInstances(), withInstances("i-01")} {
				a.writeCert("i-01", alter)
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					f.g.Expect(joined()).To(BeTrue())
				}
				// A heartbeat timeout makes both sides reconnect.
				f.fabric.Partition("a", "a")
				time.Sleep(5 * time.Second)
				f.fabric.Heal("a", "a")
				f.waitFor(5*time.Second, "joined", joined)
			}
			f.g.Expect(counterValue(f.nodes[1], keysUnusable)).To(BeEquivalentTo(2))
			f.g.Expect(logs.FilterMessage("changed keys are in use").Len()).To(Equal(1))
			f.g.Expect(counterValue(f.nodes[0], identitiesRefused)).To(BeZero())
		})
	})

	It("of another authority keep an instance out until they change, without a restart", func() {
		ours, theirs := newTestCA(), newTestCA()
		withFleet(func(f *fleet) {
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1), peerAddress(2))
			ids := []hbs.InstanceID{"i-00", "i-01", "i-02"}
			f.keys = func(i int) *peer.TLS {
				if i == 2 {
					return theirs.issueTLS(string(ids[i]), ids[i], withInstances(ids[i]))
				}
				return ours.issueTLS(string(ids[i]), ids[i], withInstances(ids[i]))
			}
			for range 3 {
				f.start("a")
			}
			time.Sleep(5 * time.Second)
			f.g.Expect(f.nodes[0].server.Alive()).To(HaveLen(2))
			f.g.Expect(f.nodes[2].server.Alive()).To(HaveLen(1))
			// The instance gets a certificate of the other authority.
			f.g.Expect(ours.Issue(theirs.dir, "i-02", withInstances("i-02"))).To(Succeed())
			f.g.Expect(ours.Publish(theirs.dir)).To(Succeed())
			f.waitFor(10*time.Second, "joined", func() bool { return len(f.nodes[2].server.Alive()) == 3 && len(f.nodes[0].server.Alive()) == 3 })
		})
	})

	It("that name another instance end a start", func() {
		a := newTestCA()
		keys := a.issueTLS("i-00", "i-00", withInstances("i-01"))
		Expect(keys.Check()).To(MatchError(ContainSubstring("certificate names i-01, not i-00; a URI such as spiffe://fleet.example/instance/ID has to be")))
	})

	It("are required on any address but loopback", func() {
		withFleet(func(f *fleet) {
			n := f.start("a")
			s := &peer.Server{Self: n.directory.Self, Objects: n.objects, Network: n.host, Policy: policy(), Metrics: n.server.Metrics, Log: n.server.Log}
			f.g.Expect(s.Run(f.ctx)).To(MatchError(ContainSubstring("no keys are set and 10.1.0.0:7000 is not a loopback address")))
		})
	})
})
