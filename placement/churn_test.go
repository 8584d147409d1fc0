package placement_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/churn"
)

// Load pattern: engines are replaced one after another, each by one of another
// model, service and failure domain.
var _ = It("keeps nothing of endpoints that were replaced, nor of their models and domains", func() {
	const (
		replaced = 10000
		mostKept = 500 << 10
	)
	synctest.Test(suiteT, func(t *testing.T) {
		d := newDirectory(1)
		p := newPlacer(d, "a")
		growth := churn.Growth(replaced, func(i int) {
			name := fmt.Sprint(i)
			d.edit(func(r *hbs.Roster) {
				e := &r.Endpoints[0]
				e.ID, e.Model, e.Domain = hbs.EndpointID("engine-"+name), hbs.ModelName("model-"+name), hbs.DomainName("domain-"+name)
			})
			req := request(1)
			req.Model = hbs.ModelName("model-" + name)
			placed, err := p.Place(req, nil)
			if err != nil {
				t.Fatal(err)
			}
			p.Finish(&placed, hbs.AttemptResult{End: hbs.EndBroken, CachedTokens: -1})
			time.Sleep(time.Second)
		})
		NewWithT(t).Expect(growth).To(BeNumerically("<", mostKept))
	})
})
