package router_test

import (
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/claim"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/settings"
	"github.com/hornbeamstage/hornbeamstage/standin/authority"
)

var suite *testing.T

func TestRouter(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

const (
	// handedOver is the longest look at a lease and a call.
	handedOver = 4 * time.Second
	// stopsWithout is what a stop takes beyond its linger time without a platform.
	stopsWithout = 10 * time.Second
	// roleChange is the longest time for an order of an idle engine's role: two
	// rounds, the drain's grace, a look at its load.
	roleChange = 9 * time.Second
)

var _ = Describe("the whole path", func() {
	It("streams a whole answer and tells an unstreamed one", func() {
		inBubble(func(f *fleet) {
			a := f.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 5), key: goodKey})
			f.g.Expect(a.status).To(Equal(http.StatusOK), a.body)
			f.g.Expect(whole(a.body)).To(BeTrue(), a.body)
			a = f.do(call{i: 1, method: http.MethodPost, path: "/v1/chat/completions", body: chat(false, 5), key: goodKey})
			f.g.Expect(a.status).To(Equal(http.StatusOK), a.body)
			f.g.Expect(a.body).To(ContainSubstring("x.4"))
		})
	})

	DescribeTable("refuses without reaching an endpoint", func(c call, status int, want string) {
		inBubble(func(f *fleet) {
			a := f.do(c)
			f.g.Expect(a.status).To(Equal(status), a.body)
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"))
			f.g.Expect(a.header.Get("X-Request-Id")).NotTo(BeEmpty())
			f.g.Expect(a.body).To(ContainSubstring(want))
			f.g.Expect(f.engine.Runs()).To(BeEmpty())
			f.g.Expect(f.service.Runs()).To(BeEmpty())
		})
	},
		Entry("a wrong key", call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 5), key: "guess"},
			http.StatusUnauthorized, "unauthorized"),
		Entry("malformed JSON", call{method: http.MethodPost, path: "/v1/chat/completions", body: "{\"model\": }", key: goodKey},
			http.StatusBadRequest, "line 1, column 11"),
		Entry("an unknown model", call{method: http.MethodPost, path: "/v1/completions", body: `{"model": "n", "prompt": "a"}`, key: goodKey},
			http.StatusNotFound, "unknown_model"),
		Entry("an unknown adapter", call{method: http.MethodPost, path: "/v1/completions", body: `{"model": "m:a", "prompt": "a"}`, key: goodKey},
			http.StatusNotFound, "unknown_model"),
		Entry("an unknown service", call{method: http.MethodGet, path: "/services/none/x", key: goodKey},
			http.StatusNotFound, "unknown_service"),
		Entry("a large body", call{method: http.MethodPost, path: "/services/orders/x", body: strings.Repeat("x", maxBytes+1), key: goodKey},
			http.StatusRequestEntityTooLarge, "too_large"),
	)

	It("times out a caller that sends its body too slowly", func() {
		inBubble(func(f *fleet) {
			body, sender := io.Pipe()
			f.wg.Go(func() {
				_, _ = sender.Write([]byte(`{"model": "m", `))
				time.Sleep(2 * bodyWait)
				_ = sender.Close()
			})
			req, err := http.NewRequest(http.MethodPost, "http://"+at(1, portCallers).String()+"/v1/completions", body)
			f.g.Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+goodKey)
			start := time.Now()
			res, err := f.client.Do(req)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(res.Body.Close()).To(Succeed())
			f.g.Expect(res.StatusCode).To(Equal(http.StatusBadRequest))
			f.g.Expect(res.Header.Get("X-Outcome")).To(Equal("not_run"))
			f.g.Expect(time.Since(start)).To(BeNumerically("~", bodyWait, 100*time.Millisecond))
		})
	})

	It("runs a keyed once request once, and replays it on another instance", func() {
		inBubble(func(f *fleet) {
			c := call{method: http.MethodPost, path: "/services/orders/book", body: order(0.2), key: goodKey, idempotency: "k1"}
			first := f.do(c)
			f.g.Expect(first.status).To(Equal(http.StatusOK), first.body)
			c.i = 1
			second := f.do(c)
			f.g.Expect(second.body).To(Equal(first.body))
			f.g.Expect(second.header.Get("X-Replayed")).To(Equal("true"))
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
			c.body = order(0.3)
			f.g.Expect(f.do(c).status).To(Equal(http.StatusUnprocessableEntity))
		})
	})

	It("does not run a once request again whose answer was too large to keep", func() {
		inBubble(func(f *fleet) {
			f.configure(&config.Config{Defaults: []config.Default{{Knob: claim.KnobRecordBytes, Value: 8}}})
			c := call{method: http.MethodPost, path: "/services/orders/book", body: order(0.1), key: goodKey, idempotency: "k3"}
			f.g.Expect(f.do(c).status).To(Equal(http.StatusOK))
			c.i = 1
			a := f.do(c)
			f.g.Expect(a.status).To(Equal(http.StatusConflict), a.body)
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("answered"))
			f.g.Expect(a.body).To(ContainSubstring("answer_not_kept"))
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
		})
	})

	It("refuses a keyed once request as not run while the platform is out, and runs it later", func() {
		inBubble(func(f *fleet) {
			f.platform.Outage(20 * time.Second)
			c := call{method: http.MethodPost, path: "/services/orders/book", body: order(0.1), key: goodKey, idempotency: "k2"}
			a := f.do(c)
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"), a.body)
			f.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			f.g.Expect(f.service.Runs()).To(BeEmpty())
			m := f.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 3), key: goodKey})
			f.g.Expect(whole(m.body)).To(BeTrue(), m.body)
			time.Sleep(60 * time.Second)
			f.g.Expect(f.do(c).status).To(Equal(http.StatusOK))
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
		})
	})

	It("breaks a half answer of a service off instead of ending it as whole", func() {
		inBubble(func(f *fleet) {
			f.service.DieAfterRun(1)
			a := f.do(call{method: http.MethodPost, path: "/services/orders/book", body: order(0.1), key: goodKey})
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("unknown"), a.body)
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
		})
	})
})

var _ = Describe("an instance that has just started", func() {
	It("serves its first request, and never calls a good key unknown", func() {
		inBubble(func(f *fleet) {
			i := f.startLate()
			a := f.do(call{i: i, method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 2), key: goodKey})
			f.g.Expect(whole(a.body)).To(BeTrue(), a.body)
		})
	})

	It("serves from peers alone while the platform is out", func() {
		inBubble(func(f *fleet) {
			f.platform.Outage(time.Hour)
			i := f.startLate()
			time.Sleep(time.Second)
			a := f.do(call{i: i, method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 2), key: goodKey})
			f.g.Expect(whole(a.body)).To(BeTrue(), a.body)
		})
	})
})

var _ = Describe("a planned stop", func() {
	It("lets running streams end, says unready, and ends without an error", func() {
		inBubble(func(f *fleet) {
			answers := make(chan answer, 1)
			f.wg.Go(func() {
				answers <- f.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 500), key: goodKey})
			})
			time.Sleep(time.Second)
			f.routers[0].Stop()
			time.Sleep(time.Second)
			ready := f.do(call{method: http.MethodGet, path: "/readyz", operators: true})
			f.g.Expect(ready.status).To(Equal(http.StatusServiceUnavailable))
			late := f.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 2), key: goodKey})
			f.g.Expect(whole(late.body)).To(BeTrue(), "a request in the linger time: %s", late.body)
			a := <-answers
			f.g.Expect(a.err).NotTo(HaveOccurred())
			f.g.Expect(whole(a.body)).To(BeTrue())
			f.g.Expect(<-f.ended[0]).To(Succeed())
			f.g.Expect(f.platform.Peek("instances", "i1")).To(BeNil())
		})
	})
})

// leaseNow returns the lease of the fleet's one domain, and the instance that holds it.
func (f *fleet) leaseNow() (l lease.Lease, at int) {
	f.g.Expect(json.Unmarshal(f.platform.Peek(hbs.ObjectLease, "orders.a"), &l)).To(Succeed())
	_, err := fmt.Sscanf(string(l.Holder), "i%d", &at)
	f.g.Expect(err).NotTo(HaveOccurred())
	return l, at - 1
}

var _ = Describe("a planned stop of the holder of the lease", func() {
	It("hands orders over while it still serves", func() {
		inBubble(func(f *fleet) {
			old, at := f.leaseNow()
			f.routers[at].Stop()
			time.Sleep(handedOver)
			next, other := f.leaseNow()
			f.g.Expect(next.Fence).To(Equal(old.Fence + 1))
			f.g.Expect(other).NotTo(Equal(at))
			f.g.Expect(next.Released).To(BeFalse())
			f.g.Expect(<-f.ended[at]).To(Succeed())
		})
	})

	It("ends though the platform is out", func() {
		inBubble(func(f *fleet) {
			_, at := f.leaseNow()
			f.platform.Outage(time.Hour)
			begun := time.Now()
			f.routers[at].Stop()
			f.g.Expect(<-f.ended[at]).To(Succeed())
			f.g.Expect(time.Since(begun)).To(BeNumerically("<", handedOver+stopsWithout))
		})
	})
})

var _ = Describe("a standby in the configuration", func() {
	It("is ordered, and withdrawn with it", func() {
		inBubble(func(f *fleet) {
			f.configure(&config.Config{Standbys: []config.Standby{{Endpoint: "e1", Reason: "spare"}}})
			time.Sleep(roleChange)
			a := f.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 3), key: goodKey})
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"), a.body)
			f.platform.Remove(hbs.ObjectConfiguration, config.StandbyName("e1"))
			time.Sleep(adoption + roleChange)
			a = f.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 3), key: goodKey})
			f.g.Expect(whole(a.body)).To(BeTrue(), a.body)
			f.g.Expect(f.engine.Orders()).To(HaveLen(2))
		})
	})
})

var _ = Describe("the operators' listener", func() {
	It("tells health, metrics, status and burn", func() {
		inBubble(func(f *fleet) {
			f.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 2), key: goodKey})
			for path, want := range map[string]string{
				"/healthz":          "ok",
				"/readyz":           "ready",
				"/metrics":          "hornbeamstage_entry_requests 1",
				"/status":           `"id": "e1"`,
				"/burn?format=json": `"instances"`,
				"/burn?format=text": "service-level burn",
			} {
				a := f.do(call{method: http.MethodGet, path: path, operators: true})
				f.g.Expect(a.status).To(Equal(http.StatusOK), path)
				f.g.Expect(a.body).To(ContainSubstring(want), path)
			}
		})
	})

	DescribeTable("uses the keys between instances", func(mode settings.OperatorsTLS, good bool) {
		dir := GinkgoT().TempDir()
		a, err := authority.New(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Issue(dir, "i", func(c *x509.Certificate) { c.URIs = append(c.URIs, peer.IdentityURI("hornbeamstage", "i3")) })).To(Succeed())
		pem, err := os.ReadFile(a.File(authority.Name))
		Expect(err).NotTo(HaveOccurred())
		roots := x509.NewCertPool()
		roots.AppendCertsFromPEM(pem)
		inBubble(func(f *fleet) {
			f.alter = func(s *settings.Settings) {
				s.TLS.Certificate, s.TLS.Key, s.TLS.Authority, s.TLS.Operators = a.File("i"), a.File("i-key"), a.File(authority.Name), mode
			}
			late := f.startLate()
			transport := network.Transport(f.fabric.Network(domain))
			transport.TLSClientConfig = peer.ClientConfig(roots, nil, "hornbeamstage", "i3")
			client := &http.Client{Transport: transport}
			res, err := client.Get("https://" + at(byte(late+1), portOperators).String() + "/healthz")
			f.g.Expect(err == nil).To(Equal(good), "%v", err)
			if good {
				f.g.Expect(res.Body.Close()).To(Succeed())
			}
			transport.CloseIdleConnections()
		})
	}, Entry("not", settings.OperatorsPlain, false), Entry("its own", settings.OperatorsServer, true), Entry("and asks for the caller's", settings.OperatorsMutual, false))
})
