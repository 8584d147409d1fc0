package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// recordTime is enough for a record of software versions to be settled after a change: the
// routes' timeout and a few seconds.
const recordTime = routeTimeout + 8*time.Second

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
		time.Sleep(recordTime)
		fl.setSoftware(fl.engines[n:], newSoftware)
		time.Sleep(settleTime)
		f(fl)
	})
}

// softwareOf returns the software versions of the engines that ran a request, or resumed
// the stream that it began.
func (f *fleet) softwareOf(id string) map[string]bool {
	versions := map[string]bool{}
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.Request == id || r.Header.Get("Resumes") == id {
				versions[e.Software] = true
			}
		}
	}
	return versions
}

// resumption returns the request with which a caller resumes a stream at instance i.
func resumption(i int, id, began string) call {
	c := streamCall(i)
	c.id = id
	c.header["Resumes"], c.header["Last-Event-Id"] = began, fmt.Sprint(cutAfter)
	return c
}

// breakStreams begins n streams at instance i that break after cutAfter events and are not
// continued, and returns their IDs.
func (f *fleet) breakStreams(i, n int) (ids []string) {
	f.fail(f.engines, pool.Faults{CutAfterEvents: cutAfter})
	for k := range n {
		c := streamCall(i)
		c.id = fmt.Sprintf("began%d-%d-%d", time.Now().UnixNano(), i, k)
		c.header["X-Prefix-Hash"] = fmt.Sprintf("c%d:300", k)
		ids = append(ids, c.id)
		f.Expect(f.send(c).err).To(HaveOccurred())
	}
	f.fail(f.engines, pool.Faults{})
	return ids
}

// resumeAll resumes streams at instance i, and returns how many went on to their end.
func (f *fleet) resumeAll(i int, began []string) (whole int) {
	for k, id := range began {
		a := f.send(resumption(i, fmt.Sprintf("again%d-%d-%d", time.Now().UnixNano(), i, k), id))
		if a.status == http.StatusOK && a.err == nil && a.body == streamPart(cutAfter+1, streamEvents) {
			whole++
			continue
		}
		f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
	}
	return whole
}

// expectUnmixed expects that no stream has events of two software versions.
func (f *fleet) expectUnmixed(ids []string) {
	for _, id := range ids {
		f.Expect(len(f.softwareOf(id))).To(BeNumerically("<=", 1), id)
	}
}

// expectResumed expects that streams go on at instance 1, at their version.
func (f *fleet) expectResumed(ids []string) {
	whole := f.resumeAll(1, ids)
	f.expectUnmixed(ids)
	f.Expect(whole).To(Equal(len(ids)))
}

// expectResumedAfterKill expects that streams go on, at their version, after all instances
// were killed.
func (f *fleet) expectResumedAfterKill() {
	ids := f.breakStreams(0, 12)
	f.restart(0, 1)
	time.Sleep(settleTime)
	f.expectResumed(ids)
}

// replace ends the old engines and starts others, with the new software, at their
// addresses.
func (f *fleet) replace(old []*pool.Endpoint) {
	for _, e := range old {
		e.Drain()
	}
	for k, e := range old {
		n := f.successor(e)
		n.ID, n.Address, n.Software = hbs.EndpointID(fmt.Sprintf("n%d", k)), address(hostMoved+k, 80), newSoftware
		f.serve(n)
		f.register(n)
		f.engines = append(f.engines, n)
	}
}

// Guards against streams whose events come from two software versions (ORDER): nothing knew
// which version an engine runs, or which one began a stream.
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

	It("is not joined with another version when the caller resumes it at another instance", func() {
		withVersions(2, func(f *fleet) {
			ids := f.breakStreams(0, 12)
			f.expectResumed(ids)
		})
	})

	It("goes on at its version after all instances were killed", func() {
		withVersions(2, func(f *fleet) {
			f.expectResumedAfterKill()
		})
	})

	It("is refused at once when the version that began it has left", func() {
		withVersions(4, func(f *fleet) {
			ids := f.breakStreams(0, 6)
			f.replace(f.engines[:4])
			time.Sleep(settleTime)
			f.restart(0, 1)
			time.Sleep(settleTime)
			begin := time.Now()
			whole := f.resumeAll(1, ids)
			f.Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
			f.expectUnmixed(ids)
			f.Expect(whole).To(BeZero())
		})
	})

	It("goes on after a change of versions in which all instances were killed", func() {
		withVersions(4, func(f *fleet) {
			f.replace(f.engines[:4])
			time.Sleep(settleTime)
			f.expectResumedAfterKill()
		})
	})

	It("is not joined with another version by an instance that is cut off from the store", func() {
		withVersions(4, func(f *fleet) {
			ids := f.breakStreams(0, 6)
			f.store.Outage(30 * time.Second)
			time.Sleep(10 * time.Second)
			f.resumeAll(1, ids)
			f.expectUnmixed(ids)
		})
	})
})
