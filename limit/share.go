package limit

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// share is a domain's share of a workspace's limits, as told to its instances.
type share struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is not empty.
	Workspace hbs.WorkspaceID
	// Rest tells that no domain claims anything and the share is the even one;
	// the other fields are zero then.
	Rest bool
	// Rate is the part of the limit's rate, from 0 to 1.
	Rate float64
	// Concurrency is in requests. Outside is what other domains have running.
	Concurrency, Outside int
	// Demand and Wanted are the domain's settled claim, with which another
	// representative goes on.
	Demand, Wanted float64
}

func (s *share) validate() error {
	switch {
	case s.Workspace == "":
		return errors.New("share without a workspace")
	case !(s.Rate >= 0 && s.Rate <= 1):
		return errors.Newf("rate %g of %q", s.Rate, s.Workspace)
	case s.Concurrency < 0 || s.Outside < 0:
		return errors.Newf("concurrency %d, outside %d of %q", s.Concurrency, s.Outside, s.Workspace)
	case !(s.Demand >= 0 && s.Demand < 1e9) || !(s.Wanted >= 0 && s.Wanted < 1e9):
		return errors.Newf("demand %g, wanted %g of %q", s.Demand, s.Wanted, s.Workspace)
	}
	return nil
}

// teller is a representative of the own domain (rule 9).
type teller struct {
	hearing
	// whole tells that it hears all domains.
	whole  bool
	shares map[hbs.WorkspaceID]share
}

// told takes the shares that a representative told.
func (l *Limiter) told(from hbs.InstanceID, whole bool, shares []share) {
	t := l.tellers[from]
	if t == nil {
		t = &teller{shares: map[hbs.WorkspaceID]share{}}
		l.tellers[from] = t
	}
	t.hear(time.Now(), l.silence())
	t.whole = whole
	for _, s := range shares {
		if s.Rest {
			delete(t.shares, s.Workspace)
			continue
		}
		t.shares[s.Workspace] = s
	}
}

// best returns the share of the representative to follow (rule 9), or nil when
// none told one. It leaves out the representative except.
func (l *Limiter) best(id hbs.WorkspaceID, except hbs.InstanceID, now time.Time) (found *share, whole bool) {
	var from hbs.InstanceID
	var heard time.Time
	for name, t := range l.tellers {
		s, ok := t.shares[id]
		if !ok || name == except {
			continue
		}
		good := t.whole && !t.silent(now, l.silence())
		better := good && !whole
		if good == whole {
			// Of those that are good, all follow the same.
			better = found == nil || good && name < from || !good && t.last.After(heard)
		}
		if better {
			found, whole, from, heard = &s, good, name, t.last
		}
	}
	return found, whole
}

// part returns the domain's part of the limits, and what other domains have
// running.
func (l *Limiter) part(id hbs.WorkspaceID, b Bounds, now time.Time) (part Bounds, outside int) {
	if len(l.view.domains) == 1 {
		return b, 0
	}
	s, _ := l.best(id, "", now)
	if s == nil {
		even := l.overDomains(id, b, claim{}).even()
		return Bounds{RequestsPerSecond: even.rate, Concurrency: even.concurrency}, 0
	}
	return Bounds{
		RequestsPerSecond: s.Rate * b.RequestsPerSecond,
		Concurrency:       min(s.Concurrency, b.Concurrency),
	}, s.Outside
}

// share computes the share of this instance.
func (l *Limiter) share(a *account, b Bounds, now time.Time) split {
	v := l.look()
	part, outside := l.part(a.id, b, now)
	d := l.overInstances(a.id, b, part, a.standing.own())
	s := d.share()
	silent := l.siblings.anySilent(v.siblings, string(l.Self), now, l.silence())
	even := d.even()
	even.concurrency = max(even.concurrency, 1)
	s = a.standing.hold(s, silent, even)
	s.othersRunning += outside
	return s
}

func (l *Limiter) silence() time.Duration { return l.Policy.Duration(KnobSilence, hbs.Scope{}) }
