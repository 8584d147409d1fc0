package dispatch_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
)

// lateRunner is an attempt.Runner whose attempts end only some time after their
// context.
type lateRunner struct{ late time.Duration }

// Run implements attempt.Runner.
func (r lateRunner) Run(ctx context.Context, _ *attempt.Call) (res attempt.Result) {
	<-ctx.Done()
	time.Sleep(r.late)
	res.End = hbs.EndExpired
	res.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonExpired}
	return res
}

// Guards against attempts that nothing ends and of which no line tells.
var _ = DescribeTable("an attempt after its deadline", func(late time.Duration, lines int) {
	core, logs := observer.New(zap.ErrorLevel)
	configure := func(d *dispatch.Dispatcher) { d.Sender, d.Log = lateRunner{late}, zap.New(core) }
	runInEnvWith(configure, func(env *testEnv) {
		env.addEndpoint(hbs.Endpoint{Kind: hbs.KindService}, http.NotFound)
		req := &hbs.Request{ID: "r1", Class: hbs.ClassOnce, Deadline: time.Now().Add(time.Second)}
		_, err := env.d.Serve(env.ctx, req, nil, &sink{})
		env.Expect(err).To(HaveOccurred())
		env.Expect(env.count("dispatch_overdue")).To(BeEquivalentTo(lines))
		overdue := logs.FilterMessage("attempt does not end").FilterField(zap.String("request", "r1")).FilterField(zap.String("endpoint", "e1"))
		env.Expect(overdue.Len()).To(Equal(lines))
	})
},
	Entry("that ends in time", 1900*time.Millisecond, 0),
	Entry("that goes on is logged and counted once", time.Minute, 1),
)
