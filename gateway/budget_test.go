package gateway

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// The load: all endpoints fail at once, and each instance of a fleet spends all
// that it may spend at once.
func TestBurstsOfAllInstances(t *testing.T) {
	g := NewWithT(t)
	const slack = 54
	for n := 1; n <= slack; n++ {
		burst := burstOf(slack, n)
		g.Expect(burst).To(BeNumerically(">=", 1), "%d instances", n)
		if n <= slack/2 {
			g.Expect(float64(n)*math.Floor(burst)).To(BeNumerically("<=", slack/2), "%d instances", n)
		}
	}
	g.Expect(burstOf(slack, 0)).To(Equal(1.0), "not counted yet")
	g.Expect(burstOf(0, 7)).To(Equal(1.0), "no retries beyond the ratio")
}
