package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// oddEndpoint is the ID under which another writer left an entry. It is in the middle
// of the endpoints' IDs.
const oddEndpoint = "e2-odd"

// deeply returns JSON with arrays in each other, levels deep.
func deeply(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// entryWith returns an engine's entry in which one member has another value. The
// address is one on which nothing listens.
func entryWith(member, value string) string {
	members := map[string]string{
		"service": `"engines"`, "address": `"10.0.0.99:80"`, "zone": `"d"`, "version": `"v1"`, "slots": "64", "state": `"ready"`,
		"cold-remaining-ms": "0", "sequence": "7", "models": `[{"name":"m","version":1}]`, "born": "7",
	}
	members[member] = value
	var all []string
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if members[name] != "" {
			all = append(all, fmt.Sprintf("%q:%s", name, members[name]))
		}
	}
	return "{" + strings.Join(all, ",") + "}"
}

// oddEntries are entries that name no endpoint to use, by what is odd.
var oddEntries = map[string]string{
	"nested 20,000 levels deep":          deeply(20_000),
	"nested 400,000 levels deep":         deeply(400_000),
	"a member nested 20,000 levels deep": entryWith("note", deeply(20_000)),
	"a member nested 9,000 levels deep":  entryWith("models", deeply(9_000)),
	"an object in objects":               strings.Repeat(`{"service":`, 20_000) + "1" + strings.Repeat("}", 20_000),
	"bytes that are no JSON":             `{"service": many}`,
	"bytes that are no UTF-8":            "\"\xff\xfe\"",
	"null":                               `null`,
	"a number":                           `7`,
	"an array":                           `[]`,
	"empty":                              `{}`,
	"a port out of range":                entryWith("address", `"10.0.0.99:65536"`),
	"a port far out of range":            entryWith("address", `"10.0.0.99:99999999999999999999"`),
	"a negative port":                    entryWith("address", `"10.0.0.99:-80"`),
	"port 0":                             entryWith("address", `"10.0.0.99:0"`),
	"no port":                            entryWith("address", `"10.0.0.99"`),
	"a name for an address":              entryWith("address", `"host.example:80"`),
	"the unspecified address":            entryWith("address", `"0.0.0.0:80"`),
	"the unspecified IPv6 address":       entryWith("address", `"[::]:80"`),
	"a multicast address":                entryWith("address", `"224.0.0.1:80"`),
	"a number for an address":            entryWith("address", `80`),
	"no address":                         entryWith("address", ``),
	"slots beyond an integer":            entryWith("slots", `1e400`),
	"slots beyond 64 bits":               entryWith("slots", `18446744073709551616`),
	"the largest slots":                  entryWith("slots", `9223372036854775807`),
	"no slots":                           entryWith("slots", ``),
	"0 slots":                            entryWith("slots", `0`),
	"negative slots":                     entryWith("slots", `-64`),
	"text for slots":                     entryWith("slots", `"64"`),
	"a fraction of slots":                entryWith("slots", `6.5`),
	"a weights version beyond 64 bits":   entryWith("models", `[{"name":"m","version":18446744073709551616}]`),
	"a negative weights version":         entryWith("models", `[{"name":"m","version":-1}]`),
	"weights version 0":                  entryWith("models", `[{"name":"m","version":0}]`),
	"text for a weights version":         entryWith("models", `[{"name":"m","version":"1"}]`),
	"no name of a model":                 entryWith("models", `[{"version":1}]`),
	"null for a model":                   entryWith("models", `[null]`),
	"an object for models":               entryWith("models", `{}`),
	"text for the start time":            entryWith("born", `"yesterday"`),
	"digits for the start time":          entryWith("born", `"7"`),
	"a fraction for the start time":      entryWith("born", `7.5`),
	"a negative start time":              entryWith("born", `-7`),
	"a start time beyond 64 bits":        entryWith("born", `1e400`),
	"true for the start time":            entryWith("born", `true`),
	"a sequence beyond 64 bits":          entryWith("sequence", `1e400`),
	"text for the sequence":              entryWith("sequence", `"7"`),
	"a warm-up beyond a float":           entryWith("cold-remaining-ms", `1e400`),
	"text for the warm-up":               entryWith("cold-remaining-ms", `"7"`),
	"an unknown state":                   entryWith("state", `"odd"`),
	"a number for a state":               entryWith("state", `7`),
	"a number for a service":             entryWith("service", `7`),
	"no service":                         entryWith("service", ``),
	"a number for a zone":                entryWith("zone", `7`),
	"no zone":                            entryWith("zone", ``),
	"an array for the software":          entryWith("version", `[]`),
}

// oddStoredObjects are objects of the store that are odd outside their entry.
var oddStoredObjects = map[string]string{
	"null for an object":   `null`,
	"a number for a name":  `{"metadata":{"name":7,"revision":7},"spec":{}}`,
	"no name":              `{"metadata":{"revision":7},"spec":{}}`,
	"a revision too large": `{"metadata":{"name":"e2-odd","revision":1e400},"spec":{}}`,
	"no revision":          `{"metadata":{"name":"e2-odd"},"spec":{}}`,
}

// expectServed sends a request to each service through each instance.
func (f *fleet) expectServed(when string) {
	for i := range f.instances {
		for _, c := range []call{{i: i, path: "/write/x"}, streamCall(i)} {
			a := f.send(c)
			f.Expect(a.err).NotTo(HaveOccurred(), when)
			f.Expect(a.status).To(Equal(http.StatusOK), "%s: %s", when, a.body)
		}
	}
}

// expectUsed expects that each instance sends a request to e if the others refuse it.
func (f *fleet) expectUsed(e *pool.Endpoint, others []*pool.Endpoint, c call, when string) {
	f.fail(others, pool.Faults{Shed: true})
	for i := range f.instances {
		before := len(e.Runs())
		c.i = i
		a := f.send(c)
		f.Expect(a.status).To(Equal(http.StatusOK), "%s, instance %d: %s", when, i+1, a.body)
		f.Expect(e.Runs()).To(HaveLen(before+1), "%s, instance %d", when, i+1)
	}
	f.fail(others, pool.Faults{})
	// Longer than any endpoint that refused a request is avoided.
	time.Sleep(10 * time.Second)
}

// expectUnused expects that no instance sends requests to e.
func (f *fleet) expectUnused(e *pool.Endpoint, when string) {
	before := len(e.Runs())
	for range 4 {
		f.expectServed(when)
	}
	f.Expect(e.Runs()).To(HaveLen(before), when)
}

// expectOddEntryHarmless lets another writer put an odd entry among those of the
// endpoints, which one instance reads as a change and the other at its start.
func expectOddEntryHarmless(f *fleet, putOdd func(id string)) {
	putOdd(oddEndpoint)
	time.Sleep(settleTime)
	f.expectServed("after the odd entry was put")
	f.restart(0)
	time.Sleep(recoveryTime)
	f.expectServed("after one instance read it at its start")

	drained := f.services[0]
	drained.Drain()
	time.Sleep(settleTime)
	f.expectUnused(drained, "an entry changed after the odd one")
	added := f.startEndpoint(6, "plain", "")
	time.Sleep(settleTime)
	f.expectUsed(added, f.services, call{path: "/read/x"}, "an entry was added after the odd one")

	e := f.engines[0]
	putOdd(string(e.ID))
	time.Sleep(settleTime)
	f.expectUnused(e, "its entry turned odd")
	f.register(e)
	time.Sleep(settleTime)
	retried := streamCall(0)
	retried.path = "/stream-retried/x"
	f.expectUsed(e, f.engines[1:], retried, "its entry was repaired")

	f.store.Remove(platform.KindEndpoints, oddEndpoint)
	f.services[1].Drain()
	time.Sleep(settleTime)
	f.expectUnused(f.services[1], "an entry changed after the odd one was removed")
	f.publishWeights(2)
	time.Sleep(convergeTime)
	f.Expect(f.versions()).To(HaveEach(int64(2)), "orders to engines")

	for i := range f.instances {
		f.Expect(f.results[i]).To(BeEmpty(), "instance %d ended", i+1)
	}
	f.Expect(f.endpointLogs("endpoint recorded", oddEndpoint)).To(BeZero())
	f.Expect(f.endpointLogs("attempt ended", oddEndpoint)).To(BeZero())
	f.Expect(f.logCount("store lost")).To(BeZero())
}

// endpointLogs returns the number of log lines with a message about an endpoint.
func (f *fleet) endpointLogs(message string, id hbs.EndpointID) (n int) {
	for _, l := range f.logs.FilterMessage(message).All() {
		if l.ContextMap()["endpoint"] == string(id) {
			n++
		}
	}
	return n
}

// Guards against instances that end, stop following the entries or use an endpoint
// that doesn't exist, because another writer left one odd entry among the endpoints'.
var _ = Describe("an odd entry among those of the endpoints", func() {
	for _, name := range slices.Sorted(maps.Keys(oddEntries)) {
		It("names no endpoint, and the others are followed: "+name, func() {
			withFleet(func(f *fleet) {
				expectOddEntryHarmless(f, func(id string) {
					f.Expect(f.store.PutVerbatim(platform.KindEndpoints, id, []byte(oddEntries[name]))).To(Succeed())
				})
			})
		})
	}
	for _, name := range slices.Sorted(maps.Keys(oddStoredObjects)) {
		It("names no endpoint, and the others are followed: "+name, func() {
			withFleet(func(f *fleet) {
				expectOddEntryHarmless(f, func(id string) {
					f.Expect(f.store.PutVerbatimObject(platform.KindEndpoints, id, []byte(oddStoredObjects[name]))).To(Succeed())
				})
			})
		})
	}

	// Guards against routes, weights versions or a count of instances that stay as they
	// are because another writer left an odd object of their kind.
	It("hides nothing if it is of one of the other kinds", func() {
		withFleet(func(f *fleet) {
			for _, kind := range []hbs.ObjectKind{platform.KindConfig, platform.KindDesiredWeights, presence.Kind} {
				f.Expect(f.store.PutVerbatim(kind, "a-odd", []byte(deeply(20_000)))).To(Succeed())
				f.Expect(f.store.PutVerbatim(kind, "z-odd", []byte(`{"version": many}`))).To(Succeed())
			}
			f.restart(0)
			time.Sleep(recoveryTime)
			f.publishRoutes(7, goodKey, "second")
			f.publishWeights(2)
			time.Sleep(convergeTime)
			for i := range f.instances {
				f.Expect(f.send(call{i: i, path: "/write/x", key: "second"}).status).To(Equal(http.StatusOK), "instance %d", i+1)
			}
			f.Expect(f.versions()).To(HaveEach(int64(2)))
			counted := f.lastLog("instance count changed").ContextMap()
			f.Expect(counted["to"]).To(BeNumerically(">=", len(f.instances)))
			// A route table that turned odd leaves the last one in use.
			f.Expect(f.store.PutVerbatim(platform.KindConfig, platform.ConfigName, []byte(deeply(20_000)))).To(Succeed())
			time.Sleep(settleTime)
			f.Expect(f.send(call{path: "/write/x", key: "second"}).status).To(Equal(http.StatusOK))
		})
	})

	// Guards against a log that an unchanged odd entry fills.
	It("is logged and counted once by each instance, however often it is listed", func() {
		withFleet(func(f *fleet) {
			f.Expect(f.store.PutVerbatim(platform.KindEndpoints, oddEndpoint, []byte(entryWith("note", deeply(20_000))))).To(Succeed())
			for range 5 {
				f.store.Compact()
				f.publishWeights(1)
				f.store.Compact()
				time.Sleep(3 * time.Second)
			}
			listings := 0
			for _, l := range f.logs.FilterMessage("objects listed").All() {
				if l.ContextMap()["kind"] == string(platform.KindEndpoints) {
					listings++
				}
			}
			f.Expect(listings).To(BeNumerically(">=", 5*len(f.instances)))
			f.Expect(f.logCount("record names no endpoint")).To(Equal(len(f.instances)))
			for _, g := range f.instances {
				f.Expect(metrics.GetOrRegisterCounter("gateway_odd_records", g.Metrics).Count()).To(Equal(int64(1)))
			}
		})
	})

	// Guards against an endpoint that is used on because its entry, which turned odd during
	// an outage, is taken for one that expired.
	DescribeTable("names no endpoint at once after an outage of the store in which it turned odd", func(compacted bool) {
		withFleet(func(f *fleet) {
			f.store.Outage(4500 * time.Millisecond)
			odd := f.services[0]
			f.Expect(f.store.PutVerbatim(platform.KindEndpoints, string(odd.ID), []byte(deeply(20_000)))).To(Succeed())
			if compacted {
				f.store.Compact()
			}
			// Until its routes are known to be the newest, an instance refuses requests.
			for f.logCount("record names no endpoint") < len(f.instances) || f.logCount("store regained") < watchedKinds*len(f.instances) {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			for range 4 {
				a := f.send(call{path: "/write/x"})
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
			f.Expect(odd.Runs()).To(BeEmpty())
		})
	},
		Entry("if it is watched", false),
		Entry("if it is listed", true),
	)

	// Guards against an engine that is taken for gone because its status is odd.
	It("is used if its status alone is odd", func() {
		withFleet(func(f *fleet) {
			f.Expect(f.store.PutVerbatimObject(platform.KindEndpoints, "e0", fmt.Appendf(nil,
				`{"metadata":{"name":"e0","revision":7,"finalizers":"x","deleting":[]},"spec":%s,"status":%s}`,
				strings.Replace(entryWith("", ""), "10.0.0.99", "10.0.0.20", 1), deeply(20_000)))).To(Succeed())
			time.Sleep(settleTime)
			f.restart(0)
			time.Sleep(recoveryTime)
			c := streamCall(0)
			c.path = "/stream-retried/x"
			f.expectUsed(f.engines[0], f.engines[1:], c, "its status is odd")
		})
	})
})
