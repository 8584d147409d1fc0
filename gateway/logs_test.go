package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// requestLogs returns the fields of a request's log lines that have the
// message.
func (f *fleet) requestLogs(message, request string) (found []map[string]any) {
	for _, l := range f.logs.FilterMessage(message).All() {
		if fields := l.ContextMap(); fields["request"] == request {
			found = append(found, fields)
		}
	}
	return found
}

// lastLog returns the last log line with the message.
func (f *fleet) lastLog(message string) observer.LoggedEntry {
	all := f.logs.FilterMessage(message).All()
	f.Expect(all).NotTo(BeEmpty(), message)
	return all[len(all)-1]
}

// docs/OPERATIONS.md describes how operators find the cause of a failed request
// from these log lines.
var _ = Describe("log lines of a request", func() {
	It("show the attempts if every endpoint refused it", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines, pool.Faults{Shed: true})
			c := streamCall(0)
			c.id = "full"
			f.send(c)
			ended := f.requestLogs("request ended", "full")
			f.Expect(ended).To(HaveLen(1))
			f.Expect(ended[0]).To(And(HaveKeyWithValue("outcome", "not_run"), HaveKeyWithValue("reason", "no_endpoint"),
				HaveKeyWithValue("route", "stream"), HaveKey("table"), HaveKey("table_age"), HaveKey("retry_after")))
			attempts := f.requestLogs("attempt ended", "full")
			f.Expect(attempts).To(HaveLen(2))
			for _, a := range attempts {
				f.Expect(a).To(And(HaveKeyWithValue("end", "refused"), HaveKeyWithValue("status", int64(503)),
					HaveKey("endpoint"), HaveKey("weights"), HaveKey("record"), HaveKey("predicted_wait"), HaveKey("predicted_first"),
					HaveKey("believed_cached")))
			}
		})
	})

	It("show an unknown outcome if its response was lost", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services, pool.Faults{DropAnswer: true})
			f.send(call{path: "/write/x", id: "lost"})
			ended := f.requestLogs("request ended", "lost")
			f.Expect(ended).To(HaveLen(1))
			f.Expect(ended[0]).To(And(HaveKeyWithValue("outcome", "unknown"), HaveKeyWithValue("reason", "connection_broken"),
				HaveKeyWithValue("service", "plain")))
			attempts := f.requestLogs("attempt ended", "lost")
			f.Expect(attempts).To(HaveLen(1))
			f.Expect(attempts[0]).To(And(HaveKeyWithValue("end", "broken"), HaveKeyWithValue("status", int64(0)),
				HaveKey("endpoint"), HaveKey("domain"), HaveKey("took"), HaveKey("detail")))
			f.Expect(f.lastLog("endpoint recorded").ContextMap()).To(HaveKey("endpoint"))
		})
	})

	It("show stale keys if it was refused because the store is unreachable", func() {
		withFleet(func(f *fleet) {
			f.store.Outage(time.Minute)
			time.Sleep(2 * revokeTime)
			f.send(call{path: "/write/x", id: "old"})
			ended := f.requestLogs("request ended", "old")
			f.Expect(ended).To(HaveLen(1))
			f.Expect(ended[0]).To(And(HaveKeyWithValue("outcome", "not_run"), HaveKeyWithValue("reason", "platform_unavailable"),
				HaveKeyWithValue("detail", "keys may be old")))
			f.Expect(ended[0]["table_age"]).To(BeNumerically(">", revokeTime))
			f.Expect(f.requestLogs("attempt ended", "old")).To(BeEmpty())
			lost := f.lastLog("store lost")
			f.Expect(lost.ContextMap()).To(And(HaveKey("kind"), HaveKey("silent"), HaveKey("error")))
		})
	})
})
