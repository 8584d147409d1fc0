package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// The operators' bound on the requests that an endpoint gets, from limitTime after it
// first named a limit: in some limitWindow at most limitFactor times what the limit
// allows, and limitSlack more.
const (
	limitTime   = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostIn returns the largest number of runs that an endpoint got in one window.
func mostIn(window time.Duration, from time.Time, runs []pool.Run) (most int) {
	for i := range runs {
		n := 0
		for j := i; j < len(runs) && runs[j].At.Sub(runs[i].At) < window; j++ {
			n++
		}
		if !runs[i].At.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// sendFor sends requests through both instances, one each interval, for d. Their
// prompts share nothing.
func (f *fleet) sendFor(d, interval time.Duration, c func(i int) call) {
	for n, start := 0, time.Now(); time.Since(start) < d; n++ {
		f.wg.Go(func() {
			next := c(n % len(f.instances))
			next.id = fmt.Sprintf("limited%d-%d", start.UnixNano(), n)
			if next.header != nil {
				next.header["X-Prefix-Hash"] = fmt.Sprintf("a%x:300", start.UnixNano()+int64(n))
			}
			f.send(next)
		})
		time.Sleep(interval)
	}
}

// Guards against an endpoint that gets more requests than the limit that it has named
// (LIMIT): each instance chose it by cost alone.
var _ = DescribeTable("endpoints get no more than the limit that they name", func(limit float64, limited int, c func(i int) call) {
	withFleet(func(f *fleet) {
		all := f.endpointsOf(c(0))
		f.fail(all[:limited], pool.Faults{Limit: fmt.Sprint(limit)})
		start := time.Now()
		f.sendFor(12*time.Second, 20*time.Millisecond, c)
		for _, e := range all[:limited] {
			allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
			f.Expect(mostIn(limitWindow, start.Add(limitTime), e.Runs())).To(BeNumerically("<=", allowed))
		}
	})
},
	Entry("half of the engines", 4.0, 2, streamCall),
	Entry("all engines", 4.0, 4, streamCall),
	Entry("an engine that takes less than one request a second", 0.3, 1, streamCall),
	Entry("an engine that takes none", 0.0, 1, streamCall),
	Entry("endpoints of a plain service", 5.0, 2, readCall),
)
