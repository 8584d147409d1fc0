package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
)

var _ = Describe("the prediction of the time to decode", func() {
	// Guards against requests that are refused for good: one slow response set the time
	// per token so high that all later requests were refused, and none of them corrected
	// it.
	It("is corrected although it refuses every request of the only workspace", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakePlacer(1, 4)
			s.endpoints[0].Kind = hbs.KindEngine
			c := &admission.Controller{Placer: s, Directory: s, Policy: defaults, Metrics: metrics.NewRegistry()}
			send := func(deadline, perToken time.Duration) error {
				req := &hbs.Request{Model: "m", Stream: true, ExpectedTokens: 100, Deadline: time.Now().Add(deadline)}
				p, err := c.Place(context.Background(), req)
				if err != nil {
					return err
				}
				time.Sleep(100 * perToken)
				c.Finish(req, &p, hbs.AttemptResult{
					End: hbs.EndComplete, OutputTokens: 100, FirstToken: tokenTime, Duration: 100 * perToken, CachedTokens: -1,
				})
				return nil
			}
			g.Expect(send(time.Minute, 30*tokenTime)).To(Succeed())
			refused := 0
			for range 1000 {
				if send(10*time.Second, tokenTime) != nil {
					refused++
				}
				time.Sleep(100 * time.Millisecond)
			}
			g.Expect(refused).To(BeNumerically("<=", 500))
			g.Expect(send(10*time.Second, tokenTime)).To(Succeed())
		})
	})
})
