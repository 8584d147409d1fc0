package router_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

var _ = Describe("an instance that keeps its own region's endpoints", func() {
	It("serves from another region's spare when its own last endpoint can't be reached, and when it is gone", func() {
		inBubble(func(f *fleet) {
			lost := f.engine.Record("b", "r")
			lost.ID, lost.Address = "lost", at(99, 80)
			f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "lost", lost)).To(Succeed())
			f.alter = func(s *settings.Settings) {
				s.Instance.Domain, s.Instance.Region, s.Instance.Holds = "b", "r", settings.HoldRegion
			}
			i := f.startLate()
			time.Sleep(fleetUp)
			ask := call{i: i, method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, 2), key: goodKey}
			a := f.do(ask)
			f.g.Expect(whole(a.body)).To(BeTrue(), a.body)
			f.platform.Remove(hbs.ObjectEndpoint, "lost")
			time.Sleep(adoption)
			a = f.do(ask)
			f.g.Expect(whole(a.body)).To(BeTrue(), a.body)
		})
	})
})
