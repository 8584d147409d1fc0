package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// beforeCut is the part of a stream that the caller has received when cutFirstStream
// cuts it.
func beforeCut() string { return streamPart(1, cutAfter) }

// answerWith returns a handler that answers with a status, content type and body.
func answerWith(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

const (
	eventStream = "text/event-stream"
	jsonText    = "application/json"
	errorText   = `{"error": "engine failed"}`
)

// longText is too long to be buffered.
func longText() string { return strings.Repeat("x", longError) }

// notResumed has responses that don't continue a stream, with whether another engine
// may be asked after them.
var notResumed = []struct {
	name   string
	answer http.HandlerFunc
	again  bool
}{
	{"an error", answerWith(500, jsonText, errorText), true},
	{"an error too long to be buffered", answerWith(500, jsonText, longText()), true},
	{"an error with an event stream", answerWith(500, eventStream, "event: error\ndata: failed\n\n"), true},
	{"an error that says that the request is wrong", answerWith(404, jsonText, errorText), false},
	{"an error that says that the request is wrong, too long to be buffered", answerWith(404, jsonText, longText()), false},
	{"an error with a status that promises something", answerWith(503, jsonText, errorText), true},
	{"a refusal of no request", earlierRefusal, true},
	{"a success that is no event stream", answerWith(200, jsonText, errorText), true},
	{"a success that is no event stream, too long to be buffered", answerWith(200, jsonText, longText()), true},
	{"an empty success that is no event stream", answerWith(200, jsonText, ""), true},
	{"no content", answerWith(204, eventStream, ""), true},
	{"a redirection", answerWith(302, eventStream, streamPart(4, streamEvents)), true},
}

// Guards against an engine's error, or any response that isn't a stream, in the
// middle of a stream, and against a stream that seems complete after one.
var _ = Describe("a stream that broke and whose next engine answers with", func() {
	for _, c := range notResumed {
		It(c.name+": is broken off without a byte that isn't the stream's", func() {
			withFleet(func(f *fleet) {
				f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{Answer: c.answer}) })
				a := f.send(streamCall(0))
				f.Expect(a.err).To(HaveOccurred())
				f.Expect(a.status).To(Equal(http.StatusOK))
				f.Expect(a.body).To(Equal(beforeCut()))
			})
		})

		if !c.again {
			continue
		}
		It(c.name+": continues at a third engine", func() {
			withFleet(func(f *fleet) {
				f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{Answer: first(c.answer)}) })
				call := streamCall(0)
				call.path = "/stream-retried/x"
				a := f.send(call)
				f.Expect(a.err).NotTo(HaveOccurred())
				f.Expect(a.body).To(Equal(wholeStream()))
				f.Expect(allRuns(f.engines)).To(HaveLen(3))
			})
		})
	}
})

// first returns a handler that answers the first request with h and continues the
// streams of later ones.
func first(h http.HandlerFunc) http.HandlerFunc {
	return inTurn(h, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		answerWith(http.StatusOK, eventStream, streamPart(after+1, streamEvents))(w, r)
	})
}

// inTurn returns a handler that answers the first request with one handler and later
// ones with another.
func inTurn(first, later http.HandlerFunc) http.HandlerFunc {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			first(w, r)
			return
		}
		later(w, r)
	}
}

// streamFrom returns a handler that sends the events of a stream from a number on,
// whatever the caller has.
func streamFrom(from int) http.HandlerFunc {
	return answerWith(http.StatusOK, eventStream, streamPart(from, streamEvents))
}

// Guards against a stream without one of its events, or with one twice.
var _ = Describe("a stream that broke and whose next engine goes on elsewhere than asked", func() {
	It("is broken off if that would leave an event out", func() {
		withFleet(func(f *fleet) {
			f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{Answer: streamFrom(cutAfter + 2)}) })
			a := f.send(streamCall(0))
			f.Expect(a.err).To(HaveOccurred())
			f.Expect(a.body).To(Equal(beforeCut()))
		})
	})

	It("continues at a third engine if that would leave an event out", func() {
		withFleet(func(f *fleet) {
			f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{Answer: first(streamFrom(cutAfter + 2))}) })
			c := streamCall(0)
			c.path = "/stream-retried/x"
			a := f.send(c)
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(wholeStream()))
		})
	})

	DescribeTable("has each event once if the engine repeats some", func(from int) {
		withFleet(func(f *fleet) {
			f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{Answer: streamFrom(from)}) })
			a := f.send(streamCall(0))
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(wholeStream()))
		})
	}, Entry("all", 1), Entry("the last one", cutAfter))

	It("is complete if nothing is left", func() {
		withFleet(func(f *fleet) {
			f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{Answer: streamFrom(streamEvents + 1)}) })
			a := f.send(streamCall(0))
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(beforeCut()))
		})
	})
})

// Guards against a log that says that a request was not run of whose stream the
// caller has a part.
var _ = It("is logged with an unknown outcome if a broken stream was refused by the next engine", func() {
	withFleet(func(f *fleet) {
		f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{Shed: true}) })
		a := f.send(streamCall(0))
		f.Expect(a.err).To(HaveOccurred())
		f.Expect(a.body).To(Equal(beforeCut()))
		ended := f.logs.FilterMessage("request ended").All()
		f.Expect(ended).To(HaveLen(1))
		f.Expect(ended[0].ContextMap()).To(HaveKeyWithValue("outcome", "unknown"))
	})
})
