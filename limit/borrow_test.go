package limit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

// testDirectory is a Directory with a roster that tests replace.
type testDirectory struct{ roster *hbs.Roster }

func (d *testDirectory) Roster() *hbs.Roster      { return d.roster }
func (d *testDirectory) Changed() <-chan struct{} { return nil }

// setInstances replaces the roster.
func (d *testDirectory) setInstances(ids ...hbs.InstanceID) {
	r := &hbs.Roster{}
	for _, id := range ids {
		r.Instances = append(r.Instances, hbs.Instance{ID: id, Incarnation: "1", State: hbs.InstanceLive})
	}
	d.roster = r
}

// inLimiter runs test with the limiter of instance a, beside b, once both have their
// slots of a limit of 8.
func inLimiter(t *testing.T, test func(g Gomega, l *Limiter, d *testDirectory)) {
	synctest.Test(t, func(t *testing.T) {
		d := &testDirectory{}
		d.setInstances("a", "b")
		l := &Limiter{
			Self: "a", IsRepresentative: func() bool { return false }, Directory: d, Policy: knob.NewFixed(Knobs), Metrics: metrics.NewRegistry(),
			Limits: func(hbs.WorkspaceID) Limits { return Limits{Concurrency: 8} },
			SendLoanRequest: func(context.Context, hbs.Instance, []byte) ([]byte, error) {
				return nil, errors.New("no answer")
			},
		}
		l.refresh()
		time.Sleep(5 * time.Second)
		l.refresh()
		test(NewWithT(t), l, d)
	})
}

// refresh adopts the directory's roster.
func (l *Limiter) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshView()
}

func TestRepeatedLoanRequest(t *testing.T) {
	inLimiter(t, func(g Gomega, l *Limiter, _ *testDirectory) {
		q := loanRequest{Workspace: "w", Incarnation: "1", Number: 1, Duration: time.Minute}
		data, err := encoding.Marshal(q)
		g.Expect(err).NotTo(HaveOccurred())
		var first, second loanResponse
		for _, resp := range []*loanResponse{&first, &second} {
			answer, err := l.HandleLoanRequest("b", data)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(cbor.Unmarshal(answer, resp)).To(Succeed())
		}
		g.Expect(first.Granted).To(BeTrue())
		g.Expect(first.Available).To(BeNumerically(">", 0))
		g.Expect(second).To(Equal(first))
	})
}

func TestExcessLoanIsReplacedWhenItEnds(t *testing.T) {
	inLimiter(t, func(g Gomega, l *Limiter, _ *testDirectory) {
		l.mu.Lock()
		a := l.account("w")
		a.excessLoans = []*loan{{account: a, lender: hbs.Instance{ID: "b", Incarnation: "1"}, ends: time.Now().Add(3 * time.Second)}}
		l.mu.Unlock()
		g.Expect(l.untilDue()).To(BeNumerically("~", 3*time.Second, 10*time.Millisecond))
	})
}

// Load pattern: instances are replaced one after another. Each is asked for a slot in
// vain.
func TestReplacedLendersAreForgotten(t *testing.T) {
	inLimiter(t, func(g Gomega, l *Limiter, d *testDirectory) {
		for i := range 1000 {
			id := hbs.InstanceID(fmt.Sprint("i", i))
			d.setInstances("a", id)
			l.refresh()
			time.Sleep(5 * time.Second)
			l.mu.Lock()
			a := l.account("w")
			x := &loan{account: a, lender: hbs.Instance{ID: id, Incarnation: "1"}, ends: time.Now().Add(time.Second)}
			_ = l.handleResponse(x, loanResponse{}, nil)
			_ = l.handleResponse(x, loanResponse{}, errors.New("no answer"))
			l.mu.Unlock()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		a := l.account("w")
		g.Expect(len(l.unreachableUntil)).To(BeNumerically("<", 10))
		g.Expect(len(a.available)).To(BeNumerically("<", 10))
		g.Expect(len(a.deniedUntil)).To(BeNumerically("<", 10))
	})
}
