package delay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		for _, d := range []time.Duration{-time.Second, 0} {
			g.Expect(delay.For(t.Context(), d)).To(Succeed())
			g.Expect(delay.For(ended, d)).To(MatchError(context.Canceled))
		}
		g.Expect(delay.For(ended, time.Second)).To(MatchError(context.Canceled))
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(delay.For(t.Context(), time.Second)).To(Succeed())
		g.Expect(time.Since(start)).To(Equal(time.Second))
	})
}
