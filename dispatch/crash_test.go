package dispatch_test

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// crashWatch records the calls of the dispatcher.
type crashWatch struct {
	// refusal is what Begin returns and final what makes Crashed return false.
	refusal *hbs.Refusal
	final   bool

	mu                              sync.Mutex
	begun, ended, crashed, answered int
}

func (w *crashWatch) Check(*hbs.Request) *hbs.Refusal { return nil }

func (w *crashWatch) Begin(*hbs.Request) *hbs.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refusal == nil {
		w.begun++
	}
	return w.refusal
}

func (w *crashWatch) End(*hbs.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended++
}

func (w *crashWatch) Crashed(_ *hbs.Request, _ *hbs.Endpoint, connected time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !connected.IsZero() {
		w.crashed++
	}
	return !w.final
}

func (w *crashWatch) Answered(*hbs.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered++
}

// addBreakingEngine adds an engine that closes the connection of each request without
// an answer, and with crash set stops listening before. taken counts the requests.
func (env *testEnv) addBreakingEngine(crash bool, taken *atomic.Int64) {
	env.addAnsweringEngine("", func() bool { return crash }, taken)
}

// addAnsweringEngine adds an engine that writes an answer to each request before it
// closes the connection. crash reports whether it stops listening before.
func (env *testEnv) addAnsweringEngine(answer string, crash func() bool, taken *atomic.Int64) {
	e := hbs.Endpoint{ID: hbs.EndpointID(env.address().String()), Kind: hbs.KindEngine, Model: "m", State: hbs.StateLive, Slots: 10}
	e.Address = env.address()
	env.placer.endpoints = append(env.placer.endpoints, e)
	l, err := env.fabric.Network("a").Listen(e.Address)
	env.Expect(err).NotTo(HaveOccurred())
	env.wg.Go(func() {
		<-env.ctx.Done()
		_ = l.Close()
	})
	env.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			env.wg.Go(func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				taken.Add(1)
				_, _ = io.WriteString(conn, answer)
				if crash() {
					_ = l.Close()
				}
			})
		}
	})
}

var _ = Describe("an engine that breaks connections", func() {
	// serve serves a request at three such engines, and returns how many got it.
	serve := func(env *testEnv, w *crashWatch, crash bool) (taken int64) {
		var n atomic.Int64
		for range 3 {
			env.addBreakingEngine(crash, &n)
		}
		env.d.Crashes = w
		outcome, err := env.d.Serve(env.ctx, chatRequest(5), nil, &sink{})
		env.Expect(err).To(HaveOccurred())
		if w.refusal == nil {
			env.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
		} else {
			env.Expect(outcome).To(Equal(hbs.OutcomeNotRun))
		}
		env.Expect(w.ended).To(Equal(w.begun))
		env.Expect(w.answered).To(BeZero())
		return n.Load()
	}

	// Guards against one request that crashes an engine with each of its attempts.
	It("is taken for crashed if it no longer listens, and a request that crashed two is not sent to a third (rule 7)", func() {
		runInEnv(func(env *testEnv) {
			w := &crashWatch{}
			env.Expect(serve(env, w, true)).To(BeEquivalentTo(2))
			env.Expect(w.crashed).To(Equal(2))
		})
	})

	// Guards against endpoints of plain services that crash one after the other without
	// notice.
	It("is taken for crashed likewise if it is the endpoint of a plain service (rule 7)", func() {
		runInEnv(func(env *testEnv) {
			var n atomic.Int64
			for range 3 {
				env.addBreakingEngine(true, &n)
			}
			for i := range env.placer.endpoints {
				env.placer.endpoints[i].Kind, env.placer.endpoints[i].Model = hbs.KindService, ""
			}
			w := &crashWatch{}
			env.d.Crashes = w
			_, err := env.d.Serve(env.ctx, &hbs.Request{ID: "plain", Class: hbs.ClassRepeatable, Service: "s", Method: http.MethodGet, Path: "/"}, nil, &sink{})
			env.Expect(err).To(HaveOccurred())
			env.Expect(n.Load()).To(BeEquivalentTo(2))
			env.Expect(w.crashed).To(Equal(2))
		})
	})

	// Guards against repeats of a request that is known to be dangerous.
	It("ends the request if its parts have crashed others (rule 7)", func() {
		runInEnv(func(env *testEnv) {
			env.Expect(serve(env, &crashWatch{final: true}, true)).To(BeEquivalentTo(1))
		})
	})

	// Guards against engines that are taken for crashed when connections are reset.
	It("has not crashed if it listens (rule 7)", func() {
		runInEnv(func(env *testEnv) {
			w := &crashWatch{}
			env.Expect(serve(env, w, false)).To(BeEquivalentTo(3))
			env.Expect(w.crashed).To(BeZero())
		})
	})

	// Guards against a crash that is not noticed as the engine was found listening
	// shortly before.
	It("has crashed if it no longer listens, although it did 100 ms before (rule 7)", func() {
		runInEnv(func(env *testEnv) {
			var n atomic.Int64
			env.addAnsweringEngine("", func() bool { return n.Load() > 1 }, &n)
			w := &crashWatch{}
			env.d.Crashes = w
			for crashes := range 2 {
				_, err := env.d.Serve(env.ctx, chatRequest(5), nil, &sink{})
				env.Expect(err).To(HaveOccurred())
				env.Expect(w.crashed).To(Equal(crashes))
				time.Sleep(100 * time.Millisecond)
			}
		})
	})

	// Guards against parts that are blamed for engines that are shut down as planned
	// before their requests have ended.
	It("has not crashed if its record says that it was to end, or is gone (rule 7)", func() {
		for _, gone := range []bool{false, true} {
			runInEnv(func(env *testEnv) {
				var n atomic.Int64
				env.addAnsweringEngine("", func() bool {
					if gone {
						env.placer.endpoints = nil
					} else {
						env.placer.endpoints[0].State = hbs.StateDraining
					}
					return true
				}, &n)
				w := &crashWatch{}
				env.d.Crashes = w
				_, err := env.d.Serve(env.ctx, chatRequest(5), nil, &sink{})
				env.Expect(err).To(HaveOccurred())
				env.Expect(n.Load()).To(BeNumerically(">", 0))
				env.Expect(w.crashed).To(BeZero())
			})
		}
	})

	// Guards against a request that was queued while its part became known.
	It("gets no request that is refused right before it is sent (rule 7)", func() {
		runInEnv(func(env *testEnv) {
			w := &crashWatch{refusal: hbs.NotRun(hbs.ReasonQuarantined, "part p", time.Second)}
			env.Expect(serve(env, w, true)).To(BeZero())
		})
	})
})

// Guards against a part that is taken for sound because the engine crashed in an answer
// that ends with its connection.
var _ = DescribeTable("a response that ends with its connection is an answer only if the engine still listens (rule 7)",
	func(stream bool, rest string) {
		for _, crash := range []bool{true, false} {
			runInEnv(func(env *testEnv) {
				var n atomic.Int64
				env.addAnsweringEngine("HTTP/1.1 200 OK\r\n"+rest, func() bool { return crash }, &n)
				w := &crashWatch{final: true}
				env.d.Crashes = w
				q := chatRequest(5)
				q.Stream = stream
				_, err := env.d.Serve(env.ctx, q, nil, &sink{})
				env.Expect(err).NotTo(HaveOccurred())
				env.Expect(w.crashed == 1).To(Equal(crash), "crashes: %d", w.crashed)
				env.Expect(w.answered == 1).To(Equal(!crash), "answers: %d", w.answered)
				env.Expect(n.Load()).To(BeEquivalentTo(1))
			})
		}
	},
	Entry("an empty body", false, "\r\n"),
	Entry("half a body", false, "\r\nhalf a bo"),
)

// Guards against more dials than are needed to tell crashes.
var _ = It("a response with a length is an answer, whatever happens to its engine (rule 7)", func() {
	runInEnv(func(env *testEnv) {
		var n atomic.Int64
		env.addAnsweringEngine("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func() bool { return true }, &n)
		w := &crashWatch{}
		env.d.Crashes = w
		q := chatRequest(5)
		q.Stream = false
		_, err := env.d.Serve(env.ctx, q, nil, &sink{})
		env.Expect(err).NotTo(HaveOccurred())
		env.Expect(w.crashed).To(BeZero())
		env.Expect(w.answered).To(Equal(1))
	})
})
