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

// limitedSender returns a Sender whose attempts have startLimit at an endpoint that is
// in use, or not, when it has passed.
func limitedSender(inUse bool) *Sender {
	return &Sender{
		StartLimit: func(*hbs.Endpoint) time.Duration { return startLimit },
		InUse:      func(*hbs.Endpoint) bool { return inUse },
	}
}

// silence is a response that doesn't start while the attempt waits.
var silence = endless.Response{Start: "H", Repeat: "x"}

// Guards against work on replaced weights (VERSION): a request waited at an engine
// until its weights were due, and began then.
var _ = Describe("an attempt whose response has to start in time (rule 8)", func() {
	It("is ended if it still waits, and may be followed by another one", func() {
		r := runEndless(limitedSender(false), silence, endless.Drips)
		Expect(r.End).To(Equal(hbs.EndBroken))
		Expect(r.Took).To(Equal(startLimit))
		Expect(r.Refusal.Outcome).To(Equal(hbs.OutcomeUnknown))
		Expect(r.Refusal.Detail).To(ContainSubstring("due for replacement"))
		Expect(r.Open).To(BeZero())
	})

	It("goes on if the endpoint is still in use", func() {
		r := runEndless(limitedSender(true), silence, endless.Drips)
		Expect(r.End).To(Equal(hbs.EndExpired))
		Expect(r.Took).To(Equal(requestTime))
	})

	It("goes on if its response has started", func() {
		event := "data: x\n\n"
		events := endless.Body("200 OK", ownHeader+"Content-Type: text/event-stream\r\n", event)
		r := runEndless(limitedSender(false), events, endless.Rate{Bytes: len(event), Interval: time.Second})
		Expect(r.End).To(Equal(hbs.EndExpired))
		Expect(r.sink.Status).To(Equal(http.StatusOK))
		Expect(r.Took).To(Equal(requestTime))
	})
})
