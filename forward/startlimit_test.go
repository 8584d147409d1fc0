package forward

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// startLimit is the time within which responses have to start.
const startLimit = requestTime / 2

// limitedSender returns a Sender to whose endpoint no request may begin after limit.
// It has to ask ten times until then.
func limitedSender(limit time.Duration) *Sender {
	var begun time.Time
	return &Sender{CheckStart: func(*hbs.Endpoint) (next time.Duration, end bool) {
		if begun.IsZero() {
			begun = time.Now()
		}
		return startLimit / 10, time.Since(begun) >= limit
	}}
}

// runLimited runs an attempt at a stream.
func runLimited(s *Sender, class hbs.RouteClass, r endless.Response, rate endless.Rate) testRun {
	return runRequest(&hbs.Request{ID: "r1", Class: class, Stream: true, Method: http.MethodGet, Path: "/x", Header: http.Header{}}, s, r, rate)
}

// silence is a response that doesn't start while the attempt waits.
var silence = endless.Response{Start: "H", Repeat: "x"}

// Guards against work on replaced weights (VERSION): a request waited at an engine
// until its weights were due, and began then.
var _ = Describe("an attempt whose response has to start in time (rule 8)", func() {
	DescribeTable("is ended if it still waits, and may be followed by another one", func(class hbs.RouteClass) {
		r := runLimited(limitedSender(startLimit), class, silence, endless.Drips)
		Expect(r.End).To(Equal(hbs.EndWithdrawn))
		Expect(r.Took).To(Equal(startLimit))
		Expect(r.Refusal.Outcome).To(Equal(hbs.OutcomeUnknown))
		Expect(r.Refusal.Detail).To(ContainSubstring("due for replacement"))
		Expect(r.Open).To(BeZero())
	},
		Entry("a repeatable request", hbs.ClassRepeatable),
		Entry("one that must not run twice", hbs.ClassOnce),
	)

	It("goes on while requests may begin at the endpoint", func() {
		r := runLimited(limitedSender(time.Hour), hbs.ClassRepeatable, silence, endless.Drips)
		Expect(r.End).To(Equal(hbs.EndExpired))
		Expect(r.Took).To(Equal(requestTime))
	})

	It("goes on if its response has started", func() {
		event := "data: x\n\n"
		events := endless.Body("200 OK", ownHeader+"Content-Type: text/event-stream\r\n", event)
		r := runLimited(limitedSender(startLimit), hbs.ClassRepeatable, events, endless.Rate{Bytes: len(event), Interval: time.Second})
		Expect(r.End).To(Equal(hbs.EndExpired))
		Expect(r.sink.Status).To(Equal(http.StatusOK))
		Expect(r.Took).To(Equal(requestTime))
	})

	It("goes on if it is no stream, whose response says nothing of when it began", func() {
		r := runEndless(limitedSender(startLimit), silence, endless.Drips)
		Expect(r.End).To(Equal(hbs.EndExpired))
	})
})
