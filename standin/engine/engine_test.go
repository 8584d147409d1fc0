package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/host"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

var suite *testing.T

func TestEngine(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

var addr = netip.MustParseAddrPort("127.0.0.1:9000")

// testEnv holds an engine and a client of it in one synctest bubble.
type testEnv struct {
	*WithT
	engine *engine.Engine
	client *http.Client
}

func with(change func(e *engine.Engine), f func(b *testEnv)) {
	synctest.Test(suite, func(t *testing.T) {
		fabric := &memnet.Fabric{}
		e := &engine.Engine{
			ID: "e1", Address: addr, Network: fabric.Network("a"), Model: "m", Initial: "v1",
			Capabilities: hbs.Capabilities{
				Priority: true, Resume: true, CachedTokens: true, CacheEvents: true, LoadReports: true,
				ChecksFence: true, KVTransfer: true, EchoesAttempt: true,
			},
			Shape:   engine.Shape{Slots: 2, CacheTokens: 1024, PrefillRate: 10000, ChunkTokens: 256, StepBase: 0.01, StepPerStream: 0.001},
			Weights: &engine.WeightStore{LoadTime: time.Second, MaxFullSpeedLoads: 1},
			KV:      &engine.KVStore{Capacity: 1 << 20},
		}
		if change != nil {
			change(e)
		}
		transport := network.NewTransport(fabric.Network("a"))
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = e.Run(ctx) })
		synctest.Wait()
		f(&testEnv{NewWithT(t), e, &http.Client{Transport: transport}})
		transport.CloseIdleConnections()
		cancel()
		wg.Wait()
	})
}

// ask sends a prompt. extra is appended to the members of the JSON body.
func (b *testEnv) ask(ctx context.Context, attempt, text, extra string, header ...string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":10,"messages":[{"role":"user","content":%q}]%s}`, text, extra)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/chat/completions", strings.NewReader(body))
	b.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Attempt-Id", attempt)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return b.client.Do(req)
}

// answer calls ask and reads the whole response.
func (b *testEnv) answer(attempt, text, extra string, header ...string) (status int, body string) {
	resp, err := b.ask(context.Background(), attempt, text, extra, header...)
	b.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (b *testEnv) post(path, body string) (status int) {
	resp, err := b.client.Post("http://"+addr.String()+path, "", bytes.NewReader([]byte(body)))
	b.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (b *testEnv) get(path string) string {
	resp, err := b.client.Get("http://" + addr.String() + path)
	b.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	b.Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func (b *testEnv) cached(n int) int { return b.engine.Runs()[n].CachedTokens }

func text(id string, tokens int) string {
	return strings.Repeat(id+strings.Repeat("x", 4-len(id)), tokens)
}

var _ = Describe("Engine", func() {
	It("caches prefixes by salt and evicts the least recently used", func() {
		with(nil, func(b *testEnv) {
			b.answer("a1", text("a", 320), `,"cache_salt":"s1"`)
			b.answer("a2", text("a", 320), `,"cache_salt":"s1"`)
			b.answer("a3", text("a", 320), `,"cache_salt":"s2"`)
			b.Expect([]int{b.cached(0), b.cached(1), b.cached(2)}).To(Equal([]int{0, 320, 0}))
			b.answer("a4", text("b", 960), "")
			b.answer("a5", text("a", 320), `,"cache_salt":"s1"`)
			b.Expect(b.cached(4)).To(BeZero())
		})
	})

	It("resumes a broken stream at an event number and cancels a run whose caller disconnects", func() {
		with(nil, func(b *testEnv) {
			b.engine.BreakStreams(1)
			_, body := b.answer("a1", text("a", 32)+engine.MarkBody("r1"), "", "X-Resume-Window", "2s")
			b.Expect(body).To(ContainSubstring("r1.4 "))
			b.Expect(body).NotTo(ContainSubstring("[DONE]"))
			rest := b.get("/v1/streams/a1?from=5")
			b.Expect(rest).To(HavePrefix("id: 5\n"))
			b.Expect(rest).To(ContainSubstring("r1.9 "))
			b.Expect(rest).To(HaveSuffix("data: [DONE]\n\n"))
			ctx, leave := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer leave()
			resp, err := b.ask(ctx, "a2", text("a", 32), "")
			b.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(resp.Body)
			b.Expect(err).To(HaveOccurred())
			synctest.Wait()
			b.Expect(b.engine.Runs()[1].End).To(Equal(engine.EndCanceled))
		})
	})

	It("restarts after a crash with an empty cache and a new incarnation", func() {
		with(nil, func(b *testEnv) {
			b.answer("a1", text("a", 320), "")
			before := b.get("/state")
			b.engine.Crash(time.Second)
			time.Sleep(500 * time.Millisecond)
			_, err := b.ask(context.Background(), "a2", text("a", 320), "")
			b.Expect(err).To(MatchError(ContainSubstring("refused")))
			time.Sleep(time.Second)
			b.answer("a3", text("a", 320), "")
			b.Expect(b.cached(1)).To(BeZero())
			b.Expect(b.get("/state")).NotTo(Equal(before))
		})
	})

	It("crashes when a timer that was set before Run fires", func() {
		crash := func(e *engine.Engine) { time.AfterFunc(time.Second, func() { e.Crash(time.Second) }) }
		with(crash, func(b *testEnv) {
			time.Sleep(1500 * time.Millisecond)
			_, err := b.ask(context.Background(), "a1", text("a", 32), "")
			b.Expect(err).To(MatchError(ContainSubstring("refused")))
			time.Sleep(time.Second)
			b.answer("a2", text("a", 32), "")
		})
	})

	It("sends a crossed answer with the id of the other attempt", func() {
		with(nil, func(b *testEnv) {
			var wg conc.WaitGroup
			wg.Go(func() { b.answer("a1", text("a", 32)+engine.MarkBody("r1"), "") })
			time.Sleep(20 * time.Millisecond)
			b.engine.CrossAnswers(1)
			resp, err := b.ask(context.Background(), "a2", text("a", 32)+engine.MarkBody("r2"), "")
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(resp.Header.Get("X-Attempt-Id")).To(Equal("a1"))
			data, _ := io.ReadAll(resp.Body)
			b.Expect(string(data)).To(ContainSubstring("r1.0 "))
			wg.Wait()
		})
	})

	It("schedules requests of a lower priority value first and slows down under the Slow fault", func() {
		with(nil, func(b *testEnv) {
			b.engine.Slow(5, 10*time.Second)
			var wg conc.WaitGroup
			for i, priority := range []int{0, 0, 5, 1} {
				wg.Go(func() { b.answer(fmt.Sprintf("a%d", i), text("a", 32), fmt.Sprintf(`,"priority":%d`, priority)) })
				time.Sleep(time.Millisecond)
			}
			wg.Wait()
			runs := b.engine.Runs()
			b.Expect(runs[3].Started).To(BeTemporally("<", runs[2].Started))
			b.Expect(runs[0].Ended.Sub(runs[0].Started)).To(BeNumerically(">", 500*time.Millisecond))
		})
	})

	It("refuses orders with a stale fence if it checks fences and else records them as stale", func() {
		order := `{"order_id":"o","fence":%d,"kind":"load_weights","weights":"%s"}`
		with(nil, func(b *testEnv) {
			b.Expect(b.post("/orders", fmt.Sprintf(order, 7, "v2"))).To(Equal(http.StatusOK))
			b.Expect(b.post("/orders", fmt.Sprintf(order, 6, "v3"))).To(Equal(http.StatusConflict))
			status, _ := b.answer("a1", text("a", 32), "")
			b.Expect(status).To(Equal(http.StatusServiceUnavailable))
			time.Sleep(1100 * time.Millisecond)
			status, _ = b.answer("a2", text("a", 32), "", "X-Weights-Version", "v1")
			b.Expect(status).To(Equal(http.StatusConflict))
			b.Expect(b.engine.Runs()).To(BeEmpty())
		})
		with(func(e *engine.Engine) { e.Capabilities.ChecksFence = false }, func(b *testEnv) {
			b.post("/orders", fmt.Sprintf(order, 7, "v2"))
			b.Expect(b.post("/orders", fmt.Sprintf(order, 6, "v3"))).To(Equal(http.StatusOK))
			b.Expect(b.engine.Orders()[1].Stale).To(BeTrue())
		})
	})

	It("publishes load reports with a delay and omits lost cache events", func() {
		with(nil, func(b *testEnv) {
			b.engine.LoseEvents(1)
			b.answer("a1", text("a", 64), `,"prefix_tags":[{"tag":"t1","tokens":64}]`)
			b.engine.LoseEvents(0)
			b.answer("a2", text("b", 64), `,"prefix_tags":[{"tag":"t2","tokens":64}]`)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/cache_events?from=0", nil)
			resp, err := b.client.Do(req)
			b.Expect(err).NotTo(HaveOccurred())
			events, _ := io.ReadAll(resp.Body)
			b.Expect(string(events)).To(HavePrefix("id: 1\n"))
			b.Expect(string(events)).To(ContainSubstring(`"kind":"stored","tag":"t2","tokens":64`))
			var load struct {
				Running int     `json:"running"`
				Age     float64 `json:"age_seconds"`
			}
			var wg conc.WaitGroup
			wg.Go(func() { b.answer("a3", text("c", 64), `,"max_tokens":100`) })
			time.Sleep(100 * time.Millisecond)
			b.Expect(json.Unmarshal([]byte(b.get("/load")), &load)).To(Succeed())
			b.Expect(load.Running).To(BeZero())
			time.Sleep(600 * time.Millisecond)
			b.Expect(json.Unmarshal([]byte(b.get("/load")), &load)).To(Succeed())
			b.Expect(load.Running).To(Equal(1))
			wg.Wait()
		})
	})

	It("publishes only new cache events if the request names no sequence number", func() {
		with(nil, func(b *testEnv) {
			b.answer("a1", text("a", 64), `,"prefix_tags":[{"tag":"t1","tokens":64}]`)
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var wg conc.WaitGroup
			wg.Go(func() { b.answer("a2", text("b", 64), `,"prefix_tags":[{"tag":"t2","tokens":64}]`) })
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/cache_events", nil)
			resp, err := b.client.Do(req)
			b.Expect(err).NotTo(HaveOccurred())
			events, _ := io.ReadAll(resp.Body)
			b.Expect(string(events)).To(HavePrefix("id: 1\n"))
			wg.Wait()
		})
	})

	It("counts all bytes of connections for load reports and none of other connections", func() {
		with(nil, func(b *testEnv) {
			b.answer("a1", text("a", 64), "")
			b.Expect(b.engine.Published()).To(BeZero())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			wire := &host.Host{Network: b.engine.Network}
			transport := network.NewTransport(wire)
			defer transport.CloseIdleConnections()
			for range 3 {
				_, err := load.Read(ctx, &http.Client{Transport: transport}, &hbs.Endpoint{ID: "e1", Address: addr})
				b.Expect(err).NotTo(HaveOccurred())
			}
			b.Expect(b.engine.Published()).To(Equal(wire.Bytes()[""]))
		})
	})

	It("loads stored prefixes only for the same salt and weights", func() {
		with(nil, func(b *testEnv) {
			b.answer("a1", text("a", 64), `,"cache_salt":"s","keep_tokens":64`)
			b.engine.Crash(0)
			time.Sleep(time.Second)
			b.answer("a2", text("a", 64), `,"cache_salt":"other","load_kept":true`)
			b.Expect(b.cached(1)).To(BeZero())
			b.post("/orders", `{"fence":1,"kind":"load_weights","weights":"v2"}`)
			time.Sleep(2 * time.Second)
			b.answer("a3", text("a", 64), `,"cache_salt":"s","load_kept":true`)
			b.Expect(b.cached(2)).To(BeZero())
			b.post("/orders", `{"fence":1,"kind":"load_weights","weights":"v1"}`)
			time.Sleep(2 * time.Second)
			b.answer("a4", text("a", 64), `,"cache_salt":"s","load_kept":true`)
			b.Expect(b.cached(3)).To(Equal(64))
		})
	})

	It("loads a stored prefix only for requests that permit it", func() {
		with(nil, func(b *testEnv) {
			b.answer("a1", text("a", 64), `,"cache_salt":"s","keep_tokens":64`)
			b.engine.Crash(0)
			time.Sleep(time.Second)
			b.answer("a2", text("a", 64), `,"cache_salt":"s"`)
			b.Expect(b.cached(1)).To(BeZero())
			b.engine.Crash(0)
			time.Sleep(time.Second)
			b.answer("a3", text("a", 64), `,"cache_salt":"s","load_kept":true`)
			b.Expect(b.cached(2)).To(Equal(64))
		})
	})
})

var _ = Describe("KVStore", func() {
	It("evicts the least recently used prefix", func() {
		with(nil, func(b *testEnv) {
			b.engine.KV.Capacity = 64
			b.answer("a1", text("a", 64), `,"cache_salt":"s","keep_tokens":64`)
			b.answer("a2", text("b", 64), `,"cache_salt":"s","keep_tokens":64`)
			b.engine.Crash(0)
			time.Sleep(time.Second)
			b.answer("a3", text("a", 64), `,"cache_salt":"s","load_kept":true`)
			b.answer("a4", text("b", 64), `,"cache_salt":"s","load_kept":true`)
			b.Expect(b.cached(2)).To(BeZero())
			b.Expect(b.cached(3)).To(Equal(64))
		})
	})
})

var _ = Describe("KVStore under the Slow fault", func() {
	It("delays loads by the factor", func() {
		with(nil, func(b *testEnv) {
			wait := func(id, prompt string) time.Duration {
				b.answer(id, text(prompt, 512), `,"cache_salt":"s","keep_tokens":512`)
				b.engine.Crash(0)
				time.Sleep(time.Second)
				began := time.Now()
				b.answer(id+"b", text(prompt, 512), `,"cache_salt":"s","load_kept":true`)
				return time.Since(began)
			}
			fast := wait("a1", "a")
			b.engine.KV.Slow(100, time.Minute)
			// 512 tokens at 100,000 tokens per second, slowed down by a factor of 100.
			b.Expect(wait("a2", "b") - fast).To(BeNumerically("~", 500*time.Millisecond, 50*time.Millisecond))
		})
	})
})

var _ = Describe("KVStore in an outage", func() {
	It("loads and stores nothing, and is empty afterwards", func() {
		with(nil, func(b *testEnv) {
			ask := func(id, prompt, fields string) {
				b.answer(id, text(prompt, 64), `,"cache_salt":"s"`+fields)
				b.engine.Crash(0)
				time.Sleep(time.Second)
			}
			ask("a1", "a", `,"keep_tokens":64`)
			b.engine.KV.Outage(4 * time.Second)
			ask("a2", "a", `,"load_kept":true`)
			ask("a3", "b", `,"keep_tokens":64`)
			time.Sleep(4 * time.Second)
			ask("a4", "a", `,"load_kept":true`)
			ask("a5", "b", `,"load_kept":true,"keep_tokens":64`)
			ask("a6", "b", `,"load_kept":true`)
			for i, cached := range []int{0, 0, 0, 0, 0, 64} {
				b.Expect(b.cached(i)).To(Equal(cached), "answer %d", i+1)
			}
		})
	})
})

var _ = Describe("WeightStore", func() {
	It("slows down loads beyond the number that can run concurrently", func() {
		with(nil, func(b *testEnv) {
			b.Expect(b.engine.Weights.PeakLoads()).To(BeZero())
			b.post("/orders", `{"fence":1,"kind":"load_weights","weights":"v2"}`)
			b.post("/orders", `{"fence":1,"kind":"load_weights","weights":"v3"}`)
			time.Sleep(1500 * time.Millisecond)
			b.Expect(b.get("/state")).To(ContainSubstring(`"loading":"v3"`))
			time.Sleep(time.Second)
			b.Expect(b.get("/state")).To(ContainSubstring(`"weights":"v3"`))
			b.Expect(b.engine.Weights.PeakLoads()).To(Equal(2))
		})
	})
})
