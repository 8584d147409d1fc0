package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// Guards against logs that don't tell which broken attempts were at a request come
// again.
var _ = It("attempts that broke are logged with a fingerprint that tells repeated requests from others", func() {
	withFleet(func(f *fleet) {
		f.publishRoutes(2, goodKey, "second")
		time.Sleep(settleTime)
		f.fail(f.services, pool.Faults{DropAnswer: true})
		n := 0
		fingerprint := func(c call) string {
			n++
			c.id = fmt.Sprint("f", n)
			f.Expect(f.send(c).status).To(Equal(http.StatusBadGateway))
			return f.requestLogs("attempt ended", c.id)[0]["fingerprint"].(string)
		}
		first := fingerprint(readCall(0))
		f.Expect(first).To(HavePrefix("w/"))
		f.Expect(fingerprint(call{i: 1, path: "/read/x", key: "second", header: map[string]string{"X-Deadline-Ms": "3000"}})).To(Equal(first))
		for _, c := range []call{
			{path: "/read/y"}, {path: "/read/x?q=1"}, {path: "/read/x", body: "b"}, {path: "/read/x", method: http.MethodGet},
		} {
			f.Expect(fingerprint(c)).NotTo(Equal(first), "%v", c)
		}
	})
})
