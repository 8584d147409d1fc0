package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

func newRoute(name, host, prefix string, split ...route.WeightedService) route.Route {
	if split == nil {
		split = []route.WeightedService{{Service: "s", Weight: 1}}
	}
	return route.Route{Name: name, Host: host, Prefix: prefix, Attempts: 1, Split: split}
}

var _ = Describe("Table", func() {
	table := &route.Table{Routes: []route.Route{
		newRoute("short", "h.example", "/a/"), newRoute("long", "h.example", "/a/b/"), newRoute("other", "o.example", "/"),
		newRoute("six", "2001:db8::1", "/"), newRoute("bracketed", "[2001:db8::2]", "/"),
	}}
	BeforeEach(func() { Expect(table.Index()).To(Succeed()) })

	DescribeTable("matches the longest prefix of the host (rule 2)", func(host, path, want string) {
		r := table.Match(host, path)
		if want == "" {
			Expect(r).To(BeNil())
			return
		}
		Expect(r.Name).To(Equal(want))
	},
		Entry("the longer prefix", "h.example", "/a/b/c", "long"),
		Entry("the shorter prefix", "h.example", "/a/bc", "short"),
		Entry("a host in upper case with a port", "H.example:80", "/a/x", "short"),
		Entry("a path without a matching prefix", "h.example", "/b/", ""),
		Entry("a path that is shorter than the prefix", "h.example", "/a", ""),
		Entry("an unknown host", "x.example", "/a/", ""),
		Entry("an IPv6 host", "[2001:db8::1]", "/", "six"),
		Entry("an IPv6 host with a port", "[2001:DB8::1]:80", "/", "six"),
		Entry("an IPv6 host of a route in brackets", "[2001:db8::2]:80", "/", "bracketed"),
		Entry("another IPv6 host", "[2001:db8::3]", "/", ""),
	)

	It("finds workspaces only by their keys", func() {
		w := &route.Workspace{ID: "w"}
		table.AddKey("k", w)
		Expect(table.Workspace("k")).To(Equal(w))
		Expect(table.Workspace("")).To(BeNil())
		Expect(table.Workspace("other")).To(BeNil())
	})

	DescribeTable("rejects an invalid route", func(r route.Route) {
		Expect((&route.Table{Routes: []route.Route{r}}).Index()).NotTo(Succeed())
	},
		Entry("without a trailing slash", newRoute("r", "h", "/a")),
		Entry("without a service", route.Route{Prefix: "/", Attempts: 1}),
		Entry("without attempts", route.Route{Prefix: "/", Split: []route.WeightedService{{Service: "s", Weight: 1}}}),
	)
})

var _ = Describe("ChooseService", func() {
	r := newRoute("r", "h", "/", route.WeightedService{Service: "a", Weight: 90}, route.WeightedService{Service: "b", Weight: 10})
	all := func(hbs.ServiceName) bool { return true }

	It("chooses by weight, and always the same service for one request (rule 4)", func() {
		n := 0
		for i := range 10000 {
			id := hbs.RequestID(fmt.Sprint(i))
			if r.ChooseService(id, all) == "b" {
				n++
			}
			Expect(r.ChooseService(id, all)).To(Equal(r.ChooseService(id, all)))
		}
		Expect(n).To(BeNumerically("~", 1000, 120))
	})

	It("skips unusable services, unless none is usable", func() {
		Expect(r.ChooseService("x", func(s hbs.ServiceName) bool { return s == "b" })).To(Equal(hbs.ServiceName("b")))
		Expect(r.ChooseService("x", func(hbs.ServiceName) bool { return false })).To(Equal(hbs.ServiceName("a")))
	})
})

var _ = It("rejects a route whose split has a weight that is not positive", func() {
	t := &route.Table{Routes: []route.Route{newRoute("r", "h.example", "/", route.WeightedService{Service: "s", Weight: 1}, route.WeightedService{Service: "t"})}}
	Expect(t.Index()).To(MatchError(ContainSubstring("weight 0")))
})
