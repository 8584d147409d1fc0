package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// lines returns the lines of one request with the message.
func (f *fleet) lines(message, request string) (found []map[string]any) {
	for _, l := range f.logs.FilterMessage(message).All() {
		if fields := l.ContextMap(); fields["request"] == request {
			found = append(found, fields)
		}
	}
	return found
}

// last returns the last line with the message.
func (f *fleet) last(message string) observer.LoggedEntry {
	all := f.logs.FilterMessage(message).All()
	f.Expect(all).NotTo(BeEmpty(), message)
	return all[len(all)-1]
}

// These are the three ways of docs/OPERATIONS.md from a request's id to its cause.
var _ = Describe("the log explains a request", func() {
	It("that was refused because no endpoint took it", func() {
		in(func(f *fleet) {
			f.fail(f.engines, pool.Faults{Shed: true})
			c := talk(0)
			c.id = "full"
			f.do(c)
			ended := f.lines("request ended", "full")
			f.Expect(ended).To(HaveLen(1))
			f.Expect(ended[0]).To(And(HaveKeyWithValue("outcome", "not_run"), HaveKeyWithValue("reason", "no_endpoint"),
				HaveKeyWithValue("route", "talk"), HaveKey("table"), HaveKey("table_age"), HaveKey("retry_after")))
			attempts := f.lines("attempt ended", "full")
			f.Expect(attempts).To(HaveLen(2))
			for _, a := range attempts {
				f.Expect(a).To(And(HaveKeyWithValue("end", "refused"), HaveKeyWithValue("status", int64(503)),
					HaveKey("endpoint"), HaveKey("weights"), HaveKey("record"), HaveKey("predicted_wait"), HaveKey("predicted_first"),
					HaveKey("believed_cached")))
			}
		})
	})

	It("that may have run, as its answer was lost", func() {
		in(func(f *fleet) {
			f.fail(f.services, pool.Faults{Lose: true})
			f.do(call{path: "/book/x", id: "lost"})
			ended := f.lines("request ended", "lost")
			f.Expect(ended).To(HaveLen(1))
			f.Expect(ended[0]).To(And(HaveKeyWithValue("outcome", "unknown"), HaveKeyWithValue("reason", "connection_broken"),
				HaveKeyWithValue("service", "desk")))
			attempts := f.lines("attempt ended", "lost")
			f.Expect(attempts).To(HaveLen(1))
			f.Expect(attempts[0]).To(And(HaveKeyWithValue("end", "broken"), HaveKeyWithValue("status", int64(0)),
				HaveKey("endpoint"), HaveKey("domain"), HaveKey("took"), HaveKey("detail")))
			f.Expect(f.last("endpoint recorded").ContextMap()).To(HaveKey("endpoint"))
		})
	})

	It("that was refused because the store could not be reached", func() {
		in(func(f *fleet) {
			f.store.Outage(time.Minute)
			time.Sleep(2 * revoke)
			f.do(call{path: "/book/x", id: "old"})
			ended := f.lines("request ended", "old")
			f.Expect(ended).To(HaveLen(1))
			f.Expect(ended[0]).To(And(HaveKeyWithValue("outcome", "not_run"), HaveKeyWithValue("reason", "platform_unavailable"),
				HaveKeyWithValue("detail", "keys may be old")))
			f.Expect(ended[0]["table_age"]).To(BeNumerically(">", revoke))
			f.Expect(f.lines("attempt ended", "old")).To(BeEmpty())
			lost := f.last("store lost")
			f.Expect(lost.ContextMap()).To(And(HaveKey("kind"), HaveKey("silent"), HaveKey("error")))
		})
	})
})
