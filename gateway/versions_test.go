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
		wait := 2 * time.Second
		v := &weightsVersions{Converge: 15 * time.Second, EventTimeout: func() time.Duration { return wait }, Suspended: func() time.Duration { return 0 }}
		v.add(platform.DesiredWeights{Model: "m", Version: 2}, moment{at: time.Now()})
		old := &hbs.Endpoint{Kind: hbs.KindEngine, Model: "m", Weights: "1"}
		published, lastInUse := time.Now(), time.Duration(0)
		for !v.tooOld(old) {
			lastInUse = time.Since(published)
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(lastInUse + expireInterval + connectTimeout + wait).To(BeNumerically("<=", v.Converge))
	})
}
