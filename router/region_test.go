package router_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

var _ = Describe("an instance that stores only the endpoints of its own region", func() {
	It("falls back to another region when its last local endpoint is unreachable or removed", func() {
		withFleet(func(f *fleet) {
			unreachable := f.engine.Record("b", "r")
			unreachable.ID, unreachable.Address = "unreachable", addr(99, 80)
			f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "unreachable", unreachable)).To(Succeed())
			f.editSettings = func(s *settings.Settings) {
				s.Instance.Domain, s.Instance.Region, s.Instance.Holds = "b", "r", settings.ScopeRegion
			}
			i := f.startLate()
			time.Sleep(startupTime)
			req := request{instance: i, method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 2), key: goodKey}
			a := f.do(req)
			f.g.Expect(isComplete(a.body)).To(BeTrue(), a.body)
			f.platform.Remove(hbs.ObjectEndpoint, "unreachable")
			time.Sleep(configPropagation)
			a = f.do(req)
			f.g.Expect(isComplete(a.body)).To(BeTrue(), a.body)
		})
	})
})
