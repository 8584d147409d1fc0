package admission_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/standin/churn"
)

// Load pattern: workspaces and models come, send one request and never come back.
// Callers name models that exist nowhere, too.
var _ = DescribeTable("keeps nothing of what is no longer used", func(request func(i int) *hbs.Request) {
	const (
		replaced = 10000
		interval = 10 * time.Second
		// mostKept is far below what one entry for each of the last 5,000 would take.
		mostKept = 200 << 10
	)
	synctest.Test(suiteT, func(t *testing.T) {
		s := newFakePlacer(1, 1)
		c := &admission.Controller{Placer: s, Directory: s, Policy: knob.NewFixed(admission.Knobs), Metrics: metrics.NewRegistry()}
		growth := churn.Growth(replaced, func(i int) {
			req := request(i)
			p, err := c.Place(context.Background(), req)
			if err != nil {
				t.Fatal(err)
			}
			c.Finish(req, &p, hbs.AttemptResult{End: hbs.EndComplete, OutputTokens: 1})
			time.Sleep(interval)
		})
		NewWithT(t).Expect(growth).To(BeNumerically("<", mostKept))
	})
},
	Entry("workspaces", func(i int) *hbs.Request {
		return &hbs.Request{ID: "r", Workspace: hbs.WorkspaceID(fmt.Sprint("w", i)), Model: "m", ExpectedTokens: 1}
	}),
	Entry("models", func(i int) *hbs.Request {
		return &hbs.Request{ID: "r", Workspace: "w", Model: hbs.ModelName(fmt.Sprint("m", i)), ExpectedTokens: 1}
	}),
)
