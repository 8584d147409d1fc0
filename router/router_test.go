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
	// handOverMax bounds a handover of the lease: the longest time between two reads of
	// the lease and one call to the platform.
	handOverMax = 4 * time.Second
	// stopWithoutPlatform bounds the time that a shutdown takes beyond its linger time
	// during a platform outage.
	stopWithoutPlatform = 10 * time.Second
	// roleChangeMax bounds the time to change the role of an idle engine: two rollout
	// rounds, the grace time of a drain and one read of the engine's load.
	roleChangeMax = 9 * time.Second
)

var _ = Describe("requests of callers", func() {
	It("returns complete responses, streamed and not streamed", func() {
		withFleet(func(f *fleet) {
			a := f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 5), key: goodKey})
			f.g.Expect(a.status).To(Equal(http.StatusOK), a.body)
			f.g.Expect(isComplete(a.body)).To(BeTrue(), a.body)
			a = f.do(request{instance: 1, method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(false, 5), key: goodKey})
			f.g.Expect(a.status).To(Equal(http.StatusOK), a.body)
			f.g.Expect(a.body).To(ContainSubstring("x.4"))
		})
	})

	DescribeTable("refuses without reaching an endpoint", func(c request, status int, want string) {
		withFleet(func(f *fleet) {
			a := f.do(c)
			f.g.Expect(a.status).To(Equal(status), a.body)
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"))
			f.g.Expect(a.header.Get("X-Request-Id")).NotTo(BeEmpty())
			f.g.Expect(a.body).To(ContainSubstring(want))
			f.g.Expect(f.engine.Runs()).To(BeEmpty())
			f.g.Expect(f.service.Runs()).To(BeEmpty())
		})
	},
		Entry("a wrong key", request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 5), key: "guess"},
			http.StatusUnauthorized, "unauthorized"),
		Entry("malformed JSON", request{method: http.MethodPost, path: "/v1/chat/completions", body: "{\"model\": }", key: goodKey},
			http.StatusBadRequest, "line 1, column 11"),
		Entry("an unknown model", request{method: http.MethodPost, path: "/v1/completions", body: `{"model": "n", "prompt": "a"}`, key: goodKey},
			http.StatusNotFound, "unknown_model"),
		Entry("an unknown adapter", request{method: http.MethodPost, path: "/v1/completions", body: `{"model": "m:a", "prompt": "a"}`, key: goodKey},
			http.StatusNotFound, "unknown_model"),
		Entry("an unknown service", request{method: http.MethodGet, path: "/services/none/x", key: goodKey},
			http.StatusNotFound, "unknown_service"),
		Entry("a large body", request{method: http.MethodPost, path: "/services/orders/x", body: strings.Repeat("x", maxBytes+1), key: goodKey},
			http.StatusRequestEntityTooLarge, "too_large"),
	)

	It("times out a caller that sends its body too slowly", func() {
		withFleet(func(f *fleet) {
			body, sender := io.Pipe()
			f.wg.Go(func() {
				_, _ = sender.Write([]byte(`{"model": "m", `))
				time.Sleep(2 * bodyWait)
				_ = sender.Close()
			})
			req, err := http.NewRequest(http.MethodPost, "http://"+addr(1, portCallers).String()+"/v1/completions", body)
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

	It("runs a request of ClassOnce with an idempotency key once and replays its response from another instance", func() {
		withFleet(func(f *fleet) {
			req := request{method: http.MethodPost, path: "/services/orders/book", body: orderBody(0.2), key: goodKey, idempotencyKey: "k1"}
			first := f.do(req)
			f.g.Expect(first.status).To(Equal(http.StatusOK), first.body)
			req.instance = 1
			second := f.do(req)
			f.g.Expect(second.body).To(Equal(first.body))
			f.g.Expect(second.header.Get("X-Replayed")).To(Equal("true"))
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
			req.body = orderBody(0.3)
			f.g.Expect(f.do(req).status).To(Equal(http.StatusUnprocessableEntity))
		})
	})

	It("does not run a request of ClassOnce again when its response was too large to store", func() {
		withFleet(func(f *fleet) {
			f.configure(&config.Config{Defaults: []config.Default{{Knob: claim.KnobRecordBytes, Value: 8}}})
			c := request{method: http.MethodPost, path: "/services/orders/book", body: orderBody(0.1), key: goodKey, idempotencyKey: "k3"}
			f.g.Expect(f.do(c).status).To(Equal(http.StatusOK))
			c.instance = 1
			a := f.do(c)
			f.g.Expect(a.status).To(Equal(http.StatusConflict), a.body)
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("answered"))
			f.g.Expect(a.body).To(ContainSubstring("answer_not_kept"))
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
		})
	})

	It("refuses a request of ClassOnce with an idempotency key as not_run during a platform outage and runs it afterwards", func() {
		withFleet(func(f *fleet) {
			f.platform.Outage(20 * time.Second)
			c := request{method: http.MethodPost, path: "/services/orders/book", body: orderBody(0.1), key: goodKey, idempotencyKey: "k2"}
			a := f.do(c)
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"), a.body)
			f.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			f.g.Expect(f.service.Runs()).To(BeEmpty())
			m := f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 3), key: goodKey})
			f.g.Expect(isComplete(m.body)).To(BeTrue(), m.body)
			time.Sleep(60 * time.Second)
			f.g.Expect(f.do(c).status).To(Equal(http.StatusOK))
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
		})
	})

	It("reports the outcome unknown when a service dies after it ran the request", func() {
		withFleet(func(f *fleet) {
			f.service.AbortAfterRun(1)
			a := f.do(request{method: http.MethodPost, path: "/services/orders/book", body: orderBody(0.1), key: goodKey})
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("unknown"), a.body)
			f.g.Expect(f.service.Runs()).To(HaveLen(1))
		})
	})
})

var _ = Describe("an instance that has just started", func() {
	It("serves its first request instead of rejecting a valid key", func() {
		withFleet(func(f *fleet) {
			i := f.startLate()
			a := f.do(request{instance: i, method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 2), key: goodKey})
			f.g.Expect(isComplete(a.body)).To(BeTrue(), a.body)
		})
	})

	It("serves with the state of its peers during a platform outage", func() {
		withFleet(func(f *fleet) {
			f.platform.Outage(time.Hour)
			i := f.startLate()
			time.Sleep(time.Second)
			a := f.do(request{instance: i, method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 2), key: goodKey})
			f.g.Expect(isComplete(a.body)).To(BeTrue(), a.body)
		})
	})
})

var _ = Describe("a graceful shutdown", func() {
	It("lets running streams finish, reports not ready and returns no error", func() {
		withFleet(func(f *fleet) {
			answers := make(chan response, 1)
			f.wg.Go(func() {
				answers <- f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 500), key: goodKey})
			})
			time.Sleep(time.Second)
			f.routers[0].Stop()
			time.Sleep(time.Second)
			ready := f.do(request{method: http.MethodGet, path: "/readyz", operators: true})
			f.g.Expect(ready.status).To(Equal(http.StatusServiceUnavailable))
			late := f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 2), key: goodKey})
			f.g.Expect(isComplete(late.body)).To(BeTrue(), "request during the linger time: %s", late.body)
			a := <-answers
			f.g.Expect(a.err).NotTo(HaveOccurred())
			f.g.Expect(isComplete(a.body)).To(BeTrue())
			f.g.Expect(<-f.runErrs[0]).To(Succeed())
			f.g.Expect(f.platform.Peek("instances", "i1")).To(BeNil())
		})
	})
})

// currentLease returns the lease of the fleet's only domain and the index of the
// instance that holds it.
func (f *fleet) currentLease() (l lease.Lease, holder int) {
	f.g.Expect(json.Unmarshal(f.platform.Peek(hbs.ObjectLease, "orders.a"), &l)).To(Succeed())
	_, err := fmt.Sscanf(string(l.Holder), "i%d", &holder)
	f.g.Expect(err).NotTo(HaveOccurred())
	return l, holder - 1
}

var _ = Describe("a graceful shutdown of the lease holder", func() {
	It("hands the lease over while it still serves", func() {
		withFleet(func(f *fleet) {
			before, holder := f.currentLease()
			f.routers[holder].Stop()
			time.Sleep(handOverMax)
			after, nextHolder := f.currentLease()
			f.g.Expect(after.Fence).To(Equal(before.Fence + 1))
			f.g.Expect(nextHolder).NotTo(Equal(holder))
			f.g.Expect(after.Released).To(BeFalse())
			f.g.Expect(<-f.runErrs[holder]).To(Succeed())
		})
	})

	It("completes during a platform outage", func() {
		withFleet(func(f *fleet) {
			_, holder := f.currentLease()
			f.platform.Outage(time.Hour)
			start := time.Now()
			f.routers[holder].Stop()
			f.g.Expect(<-f.runErrs[holder]).To(Succeed())
			f.g.Expect(time.Since(start)).To(BeNumerically("<", handOverMax+stopWithoutPlatform))
		})
	})
})

var _ = Describe("a standby in the configuration", func() {
	It("takes the engine out of service until it is deleted", func() {
		withFleet(func(f *fleet) {
			f.configure(&config.Config{Standbys: []config.Standby{{Endpoint: "e1", Reason: "standby"}}})
			time.Sleep(roleChangeMax)
			a := f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 3), key: goodKey})
			f.g.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"), a.body)
			f.platform.Remove(hbs.ObjectConfiguration, config.StandbyName("e1"))
			time.Sleep(configPropagation + roleChangeMax)
			a = f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 3), key: goodKey})
			f.g.Expect(isComplete(a.body)).To(BeTrue(), a.body)
			f.g.Expect(f.engine.Orders()).To(HaveLen(2))
		})
	})
})

var _ = Describe("the operators' listener", func() {
	It("serves health, metrics, status and burn", func() {
		withFleet(func(f *fleet) {
			f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 2), key: goodKey})
			for path, want := range map[string]string{
				"/healthz":          "ok",
				"/readyz":           "ready",
				"/metrics":          "hornbeamstage_entry_requests 1",
				"/status":           `"id": "e1"`,
				"/burn?format=json": `"instances"`,
				"/burn?format=text": "service-level burn",
			} {
				a := f.do(request{method: http.MethodGet, path: path, operators: true})
				f.g.Expect(a.status).To(Equal(http.StatusOK), path)
				f.g.Expect(a.body).To(ContainSubstring(want), path)
			}
		})
	})

	DescribeTable("uses the certificate for connections between instances", func(mode settings.OperatorsTLS, good bool) {
		dir := GinkgoT().TempDir()
		a, err := authority.New(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Issue(dir, "i", func(c *x509.Certificate) { c.URIs = append(c.URIs, peer.IdentityURI("hornbeamstage", "i3")) })).To(Succeed())
		pem, err := os.ReadFile(a.File(authority.CertName))
		Expect(err).NotTo(HaveOccurred())
		roots := x509.NewCertPool()
		roots.AppendCertsFromPEM(pem)
		withFleet(func(f *fleet) {
			f.editSettings = func(s *settings.Settings) {
				s.TLS.Certificate, s.TLS.Key, s.TLS.Authority, s.TLS.Operators = a.File("i"), a.File("i-key"), a.File(authority.CertName), mode
			}
			late := f.startLate()
			transport := network.NewTransport(f.fabric.Network(domain))
			transport.TLSClientConfig = peer.ClientConfig(roots, nil, "hornbeamstage", "i3")
			client := &http.Client{Transport: transport}
			res, err := client.Get("https://" + addr(byte(late+1), portOperators).String() + "/healthz")
			f.g.Expect(err == nil).To(Equal(good), "%v", err)
			if good {
				f.g.Expect(res.Body.Close()).To(Succeed())
			}
			transport.CloseIdleConnections()
		})
	}, Entry("plain HTTP", settings.OperatorsPlain, false), Entry("server certificate", settings.OperatorsServer, true), Entry("server and client certificates", settings.OperatorsMutual, false))
})
