package gateway

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// All instances of a fleet spend their whole retry burst at the same time, as
// happens when all endpoints fail. Together they must stay within half of the
// deployment's retry slack, unless there are so many instances that their minimum
// of one retry each adds up to more.
func TestRetryBurstsOfAllInstances(t *testing.T) {
	g := NewWithT(t)
	const slack = 54
	for n := 1; n <= slack; n++ {
		burst := instanceRetryBurst(slack, n)
		g.Expect(burst).To(BeNumerically(">=", 1), "%d instances", n)
		if n <= slack/2 {
			g.Expect(float64(n)*math.Floor(burst)).To(BeNumerically("<=", slack/2), "%d instances", n)
		}
	}
	g.Expect(instanceRetryBurst(slack, 0)).To(Equal(1.0), "instances not counted yet")
	g.Expect(instanceRetryBurst(0, 7)).To(Equal(1.0), "no retries beyond the ratio")
}
