package limit

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// share is a domain's share of a workspace's limits, as sent to its instances.
type share struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is not empty.
	Workspace hbs.WorkspaceID
	// Unclaimed means that no domain claims anything and the share is the even
	// one; the other fields are zero then.
	Unclaimed bool
	// Rate is the fraction of the limit's rate, from 0 to 1.
	Rate float64
	// Concurrency is in requests. OthersRunning is the number of requests that
	// run in other domains.
	Concurrency, OthersRunning int
	// Demand and Wanted are the domain's confirmed claim, from which another
	// representative continues.
	Demand, Wanted float64
}

func (s *share) validate() error {
	switch {
	case s.Workspace == "":
		return errors.New("share without a workspace")
	case !(s.Rate >= 0 && s.Rate <= 1):
		return errors.Newf("invalid rate %g of workspace %q", s.Rate, s.Workspace)
	case s.Concurrency < 0 || s.OthersRunning < 0:
		return errors.Newf("invalid concurrency %d, running in other domains %d, of workspace %q", s.Concurrency, s.OthersRunning, s.Workspace)
	case !(s.Demand >= 0 && s.Demand < 1e9) || !(s.Wanted >= 0 && s.Wanted < 1e9):
		return errors.Newf("invalid demand %g, wanted %g, of workspace %q", s.Demand, s.Wanted, s.Workspace)
	}
	return nil
}

// representative holds what a representative of this domain sent (rule 9).
type representative struct {
	liveness
	// complete means that no domain is silent to it.
	complete bool
	shares   map[hbs.WorkspaceID]share
}

// storeShares stores the shares that a representative sent.
func (l *Limiter) storeShares(from hbs.InstanceID, complete bool, shares []share) {
	r := l.representatives[from]
	if r == nil {
		r = &representative{shares: map[hbs.WorkspaceID]share{}}
		l.representatives[from] = r
	}
	r.observe(time.Now(), l.silence())
	r.complete = complete
	for _, s := range shares {
		if s.Unclaimed {
			delete(r.shares, s.Workspace)
			continue
		}
		r.shares[s.Workspace] = s
	}
}

// currentShare returns the share of the representative to follow (rule 9) and
// whether that one is complete. The share is nil if no representative sent one.
// It ignores the representative except.
func (l *Limiter) currentShare(id hbs.WorkspaceID, except hbs.InstanceID, now time.Time) (found *share, complete bool) {
	var from hbs.InstanceID
	var lastArrival time.Time
	for name, r := range l.representatives {
		s, ok := r.shares[id]
		if !ok || name == except {
			continue
		}
		active := r.complete && !r.silent(now, l.silence())
		better := active && !complete
		if active == complete {
			// All instances follow the same one of those that are complete.
			better = found == nil || active && name < from || !active && r.last.After(lastArrival)
		}
		if better {
			found, complete, from, lastArrival = &s, active, name, r.last
		}
	}
	return found, complete
}

// domainPart returns the domain's part of the limits, and how many requests run
// in other domains.
func (l *Limiter) domainPart(id hbs.WorkspaceID, limits Limits, now time.Time) (part Limits, othersRunning int) {
	if len(l.view.domains) == 1 {
		return limits, 0
	}
	s, _ := l.currentShare(id, "", now)
	if s == nil {
		even := l.domainSplitter(id, limits, claim{}).even()
		return Limits{RequestsPerSecond: even.rate, Concurrency: even.concurrency}, 0
	}
	return Limits{
		RequestsPerSecond: s.Rate * limits.RequestsPerSecond,
		Concurrency:       min(s.Concurrency, limits.Concurrency),
	}, s.OthersRunning
}

// instanceShare computes the share of this instance.
func (l *Limiter) instanceShare(a *account, limits Limits, now time.Time) allocation {
	v := l.refreshView()
	part, othersRunning := l.domainPart(a.id, limits, now)
	d := l.instanceSplitter(a.id, limits, part, a.state.effective())
	s := d.share()
	silent := l.siblings.anySilent(v.siblings, string(l.Self), now, l.silence())
	even := d.even()
	even.concurrency = max(even.concurrency, 1)
	s = a.state.clamp(s, silent, even)
	s.othersRunning += othersRunning
	return s
}

func (l *Limiter) silence() time.Duration { return l.Policy.Duration(KnobSilence, hbs.Scope{}) }
