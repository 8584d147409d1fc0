package gateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// earlierRefusal answers with a refusal that names no request.
func earlierRefusal(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("X-Request-Id")
	w.Header().Del("X-Instance-Stamp")
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var _ = Describe("a refusal that an endpoint wrote although it runs the request", func() {
	// Guards against telling callers to send a request again that has run.
	It("doesn't tell the caller that a non-idempotent request was not run", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services, pool.Faults{Answer: earlierRefusal})
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			f.Expect(a.header.Get("X-Outcome")).To(Equal("unknown"))
			f.Expect(a.header).NotTo(HaveKey("Retry-After"))
			f.Expect(allRuns(f.services)).To(HaveLen(1))
		})
	})

	// Guards against a second run of a stream that must not run twice.
	It("doesn't send a stream that can't be resumed to a second engine", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines, pool.Faults{Answer: earlierRefusal})
			c := streamCall(0)
			c.path = "/stream-once/x"
			a := f.send(c)
			f.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			f.Expect(allRuns(f.engines)).To(HaveLen(1))
		})
	})

	// Guards against losing requests that may run again.
	It("is followed by another attempt if the request may run again", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services[:1], pool.Faults{Answer: earlierRefusal})
			for range 4 {
				a := f.send(call{path: "/read/x", method: http.MethodGet})
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
		})
	})
})
