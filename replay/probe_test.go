package replay

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// try is the status that an instance answered to a probe, and when.
type try struct {
	status int
	after  time.Duration
}

func TestProbeDetectsLateAndRevertedConfigurations(t *testing.T) {
	const early, late = time.Second, maxConfigDelay + time.Second
	for name, c := range map[string]struct {
		tries []try
		want  []Violation
	}{
		"in force in time":                       {[]try{{http.StatusUnauthorized, early}, {http.StatusOK, 2 * early}, {http.StatusOK, late}}, nil},
		"not in force in time":                   {[]try{{http.StatusUnauthorized, early}, {http.StatusUnauthorized, late}}, []Violation{ViolationConfigLate}},
		"in force too late":                      {[]try{{http.StatusUnauthorized, late}, {http.StatusOK, late + early}}, []Violation{ViolationConfigLate}},
		"no longer in force":                     {[]try{{http.StatusOK, early}, {http.StatusUnauthorized, 2 * early}}, []Violation{ViolationConfigReverted}},
		"an instance that is down doesn't count": {[]try{{0, early}, {0, late}, {http.StatusOK, 2 * late}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var s instanceProbe
			for _, x := range c.tries {
				s.recordStatus(x.status, x.after)
			}
			NewWithT(t).Expect(s.violations).To(Equal(c.want))
		})
	}
}

func TestSkewedEntryPrefersOneInstance(t *testing.T) {
	r := &Replay{}
	err := r.skewEntry(t.Context(), Fault{Kind: FaultEntryLopsided, Target: "*", Count: 2})
	NewWithT(t).Expect(err).To(MatchError(errOneInstance))
}
