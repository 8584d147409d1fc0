package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// Guards against work on replaced weights (VERSION): a request sent at the last
// moment at which its engine is in use began after the weights were due.
func TestRequestsSentAtTheLastMomentBeginInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		v := &weightsVersions{Converge: 15 * time.Second, Suspended: func() time.Duration { return 0 }}
		v.add(platform.DesiredWeights{Model: "m", Version: 2}, moment{at: time.Now()})
		v.add(platform.DesiredWeights{Model: "m", Version: 3}, moment{at: time.Now().Add(time.Second)})
		old := &hbs.Endpoint{Kind: hbs.KindEngine, Model: "m", Weights: "1"}
		published := time.Now()
		for !v.tooOld(old) {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(expireInterval + connectTimeout)
		limit := (&Gateway{versions: v}).startLimit(old)
		g.Expect(limit).To(BeNumerically(">", 0))
		g.Expect(time.Since(published) + limit).To(BeNumerically("<", v.Converge))
	})
}

// Guards against work on replaced weights (VERSION): the age of versions found at the
// start was negative on machines that had been suspended before.
func TestVersionsFoundAtTheStartAreOldOnMachinesThatWereSuspended(t *testing.T) {
	for _, suspended := range []time.Duration{0, 1, time.Hour} {
		v := &weightsVersions{Converge: 15 * time.Second, Suspended: func() time.Duration { return suspended }}
		v.add(platform.DesiredWeights{Model: "m", Version: 2}, moment{})
		g := NewWithT(t)
		g.Expect(v.tooOld(&hbs.Endpoint{Kind: hbs.KindEngine, Model: "m", Weights: "1"})).To(BeTrue())
	}
}

// Guards against revoked keys in use: the age of a table that was never known to be
// the newest was negative on machines that had been suspended before.
func TestATableThatWasNeverConfirmedIsOld(t *testing.T) {
	for _, suspended := range []time.Duration{0, 1, time.Hour} {
		s := &routeState{Suspended: func() time.Duration { return suspended }}
		NewWithT(t).Expect(s.age()).To(BeNumerically(">", time.Hour))
	}
}
