package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

// replaceTime is the time in which weights have to be replaced.
const replaceTime = 15 * time.Second

// oldEngine has the version before the versions of the tests.
var oldEngine = &hbs.Endpoint{ID: "e", Kind: hbs.KindEngine, Model: "m", Weights: "1"}

// newVersions returns versions 2 and 3 of a model. The second one was published a
// short time after the first, which was published now.
func newVersions(suspended *time.Duration, gap time.Duration) *weightsVersions {
	v := &weightsVersions{Converge: replaceTime, Suspended: func() time.Duration { return *suspended }}
	v.add(platform.DesiredWeights{Model: "m", Version: 2}, moment{time.Now(), *suspended})
	v.add(platform.DesiredWeights{Model: "m", Version: 3}, moment{time.Now().Add(gap), *suspended})
	return v
}

// Guards against work on replaced weights (VERSION): a request sent at the last
// moment at which its engine is in use began after the weights were due, by another
// version that was published soon after the first.
func TestRequestsSentAtTheLastMomentBeginInTime(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			none := time.Duration(0)
			v := newVersions(&none, gap)
			gw := &Gateway{versions: v, directory: &roster.Directory{}}
			published := time.Now()
			for !v.tooOld(oldEngine) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(expireInterval + connectTimeout)
			next, end := gw.checkStart(oldEngine)
			g.Expect(end).To(BeFalse())
			for !end {
				time.Sleep(next)
				next, end = gw.checkStart(oldEngine)
			}
			g.Expect(time.Since(published)).To(BeNumerically("<", replaceTime))
		})
	}
}

// Guards against work on replaced weights (VERSION): the age of versions found at the
// start was negative on machines that had been suspended before.
func TestVersionsFoundAtTheStartAreOldOnMachinesThatWereSuspended(t *testing.T) {
	for _, suspended := range []time.Duration{0, 1, time.Hour} {
		v := &weightsVersions{Converge: replaceTime, Suspended: func() time.Duration { return suspended }}
		v.add(platform.DesiredWeights{Model: "m", Version: 2}, moment{})
		g := NewWithT(t)
		g.Expect(v.tooOld(oldEngine)).To(BeTrue())
		g.Expect(v.due(oldEngine)).To(BeTrue())
	}
}

// confirmFor confirms both watches of v often, for d.
func confirmFor(v *weightsVersions, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(watchWait / 4) {
		v.VersionWatch.confirm()
		v.EngineWatch.confirm()
	}
}

// Guards against work on replaced weights (VERSION), and against refused requests at
// instances that can't know whether something excuses old weights.
func TestWeightsAreBarredOnlyInContactWithTheStore(t *testing.T) {
	const stable = 3 * time.Second
	suspended := time.Duration(0)
	for name, c := range map[string]struct {
		disturb func(v *weightsVersions)
		// after is how long after the disturbance the weights are barred.
		after time.Duration
	}{
		"undisturbed":              {func(*weightsVersions) {}, 0},
		"a watch that was cut off": {func(*weightsVersions) { time.Sleep(contactGap / 2) }, 0},
		"a watch without answers":  {func(*weightsVersions) { time.Sleep(2 * contactGap) }, stable},
		"a suspension":             {func(*weightsVersions) { suspended += time.Minute }, stable},
		"an outage":                {func(v *weightsVersions) { v.VersionWatch.regain() }, replaceTime - lastSendTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				v := newVersions(&suspended, 0)
				v.VersionWatch, v.EngineWatch = &contact{StableTime: stable, Suspended: v.Suspended}, &contact{StableTime: stable, Suspended: v.Suspended}
				confirmFor(v, replaceTime-time.Second)
				g.Expect(v.barred(oldEngine)).To(BeFalse())
				confirmFor(v, time.Second)
				g.Expect(v.barred(oldEngine)).To(BeTrue())
				c.disturb(v)
				g.Expect(v.barred(oldEngine)).To(Equal(c.after == 0))
				confirmFor(v, c.after-time.Second)
				g.Expect(v.barred(oldEngine)).To(Equal(c.after == 0))
				confirmFor(v, 2*time.Second)
				g.Expect(v.barred(oldEngine)).To(BeTrue())
			})
		})
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
