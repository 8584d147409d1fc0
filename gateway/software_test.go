package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// The software versions of endpoints.
const (
	oldSoftware = "v1"
	newSoftware = "v2"
)

// setSoftware gives endpoints a software version, as if they had started with it.
func (f *fleet) setSoftware(es []*pool.Endpoint, version string) {
	for _, e := range es {
		e.Software = version
		f.register(e)
	}
}

// withVersions runs f with a fleet whose engines run the old software, or the new one from
// number n on.
func withVersions(n int, f func(fl *fleet)) {
	withFleet(func(fl *fleet) {
		fl.setSoftware(fl.engines, oldSoftware)
		time.Sleep(settleTime)
		fl.setSoftware(fl.engines[n:], newSoftware)
		time.Sleep(settleTime)
		f(fl)
	})
}

// softwareOf returns the software versions of the engines that ran a request.
func (f *fleet) softwareOf(id string) map[string]bool {
	versions := map[string]bool{}
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.Request == id {
				versions[e.Software] = true
			}
		}
	}
	return versions
}

// expectUnmixed expects that no stream has events of two software versions.
func (f *fleet) expectUnmixed(ids []string) {
	for _, id := range ids {
		f.Expect(len(f.softwareOf(id))).To(BeNumerically("<=", 1), id)
	}
}

// Guards against streams whose events come from two software versions (ORDER): nothing knew
// which version an engine runs.
var _ = Describe("a stream of a service whose engines run two software versions", func() {
	It("goes on at the version that began it, within one response", func() {
		withVersions(2, func(f *fleet) {
			for k := range 8 {
				f.fail(f.engines, pool.Faults{CutAfterEvents: cutAfter})
				c := streamCall(0)
				c.id = fmt.Sprintf("one%d", k)
				c.header["X-Prefix-Hash"] = fmt.Sprintf("c%d:300", k)
				c.path = "/stream-retried/x"
				f.send(c)
				f.expectUnmixed([]string{c.id})
			}
		})
	})
})
