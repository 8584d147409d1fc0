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

func newRoute(name, host, prefix string, split ...route.Share) route.Route {
	if split == nil {
		split = []route.Share{{Service: "s", Weight: 1}}
	}
	return route.Route{Name: name, Host: host, Prefix: prefix, Attempts: 1, Split: split}
}

var _ = Describe("Table", func() {
	table := &route.Table{Routes: []route.Route{
		newRoute("short", "h.example", "/a/"), newRoute("long", "h.example", "/a/b/"), newRoute("other", "o.example", "/"),
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
		Entry("the longer one", "h.example", "/a/b/c", "long"),
		Entry("the shorter one", "h.example", "/a/bc", "short"),
		Entry("a host with a port, in capitals", "H.example:80", "/a/x", "short"),
		Entry("no prefix", "h.example", "/b/", ""),
		Entry("a path that only begins a prefix", "h.example", "/a", ""),
		Entry("another host", "x.example", "/a/", ""),
	)

	It("knows workspaces by their keys alone", func() {
		w := &route.Workspace{ID: "w"}
		table.AddKey("k", w)
		Expect(table.Workspace("k")).To(Equal(w))
		Expect(table.Workspace("")).To(BeNil())
		Expect(table.Workspace("other")).To(BeNil())
	})

	DescribeTable("refuses a route that can't be used", func(r route.Route) {
		Expect((&route.Table{Routes: []route.Route{r}}).Index()).NotTo(Succeed())
	},
		Entry("without a slash at the end", newRoute("r", "h", "/a")),
		Entry("without a service", route.Route{Prefix: "/", Attempts: 1}),
		Entry("without an attempt", route.Route{Prefix: "/", Split: []route.Share{{Service: "s", Weight: 1}}}),
	)
})

var _ = Describe("Choose", func() {
	r := newRoute("r", "h", "/", route.Share{Service: "a", Weight: 90}, route.Share{Service: "b", Weight: 10})
	all := func(hbs.ServiceName) bool { return true }

	It("draws by weight, alike for one request (rule 4)", func() {
		n := 0
		for i := range 10000 {
			id := hbs.RequestID(fmt.Sprint(i))
			if r.Choose(id, all) == "b" {
				n++
			}
			Expect(r.Choose(id, all)).To(Equal(r.Choose(id, all)))
		}
		Expect(n).To(BeNumerically("~", 1000, 120))
	})

	It("leaves out services without endpoints, unless none has any", func() {
		Expect(r.Choose("x", func(s hbs.ServiceName) bool { return s == "b" })).To(Equal(hbs.ServiceName("b")))
		Expect(r.Choose("x", func(hbs.ServiceName) bool { return false })).To(Equal(hbs.ServiceName("a")))
	})
})
