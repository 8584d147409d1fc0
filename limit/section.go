package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// maxClaims bounds what is taken from a party.
	maxClaims = 4096
	// listBytes is what a digest takes beside its items.
	listBytes = 5
)

// encoding writes floats in as few bytes as hold them.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Sections returns what the instance exchanges with others.
func (l *Limiter) Sections() []hbs.Section {
	return []hbs.Section{claimSection{l}, shareSection{l}, sumSection{l}}
}

// claimSection exchanges the claims of instances within a domain. It implements
// hornbeamstage.Section.
type claimSection struct{ l *Limiter }

// Name implements hornbeamstage.Section.
func (claimSection) Name() string { return "limit" }

// Reach implements hornbeamstage.Section.
func (claimSection) Reach() hbs.Reach { return hbs.ReachDomain }

// Digest implements hornbeamstage.Section. An empty list tells peers that this
// instance is heard.
func (s claimSection) Digest(budget int) []byte {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	v := l.look()
	heard := l.siblings.oldest(v.siblings, string(l.Self), now)
	for _, a := range l.accounts {
		a.standing.settle(heard)
	}
	claims := l.dueClaims(now)
	data, sent := packClaims(claims, &l.claimTurn, budget)
	for _, c := range sent {
		l.accounts[c.Workspace].standing.publish(c, now)
	}
	return data
}

// dueClaims returns the claims to publish in the domain, and forgets accounts
// at rest.
func (l *Limiter) dueClaims(now time.Time) (claims []claim) {
	for id, a := range l.accounts {
		if a.quiet(now) && a.standing.resting(now) {
			delete(l.accounts, id)
			continue
		}
		b := l.Bounds(id)
		part, _ := l.part(id, b, now)
		c := a.claim(l.small(b), now)
		near := c.near(b, l.overInstances(id, b, part, c).quiet())
		if c, due := a.standing.due(c, near, now); due {
			claims = append(claims, c)
		}
	}
	return claims
}

// Absorb implements hornbeamstage.Section.
func (s claimSection) Absorb(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "limits of %q", from.ID) }()
	claims, err := unpackClaims(data)
	if err != nil {
		return err
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if s.l.look().domain == from.Domain {
		s.l.siblings.take(string(from.ID), claims, s.l.silence())
	}
	return nil
}

// sumSection exchanges the sums of domains between their representatives. It
// implements hornbeamstage.Section.
type sumSection struct{ l *Limiter }

// Name implements hornbeamstage.Section.
func (sumSection) Name() string { return "limit.sums" }

// Reach implements hornbeamstage.Section.
func (sumSection) Reach() hbs.Reach { return hbs.ReachBetween }

// Digest implements hornbeamstage.Section.
func (s sumSection) Digest(budget int) []byte {
	chosen := s.l.Chosen()
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if !chosen {
		return nil
	}
	now := time.Now()
	v := l.look()
	heard := l.domains.oldest(v.domains, string(v.domain), now)
	for _, sum := range l.sums {
		sum.settle(heard)
	}
	data, sent := packClaims(l.dueSums(now), &l.sumTurn, budget)
	for _, c := range sent {
		l.sums[c.Workspace].publish(c, now)
	}
	return data
}

// dueSums returns the sums to publish to other domains.
func (l *Limiter) dueSums(now time.Time) (claims []claim) {
	for id, s := range l.sums {
		c, b := l.total(id), l.Bounds(id)
		near := c.near(b, l.overDomains(id, b, c).quiet())
		if c, due := s.due(c, near, now); due {
			claims = append(claims, c)
		}
	}
	return claims
}

// Absorb implements hornbeamstage.Section.
func (s sumSection) Absorb(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "limits of domain %q", from.Domain) }()
	claims, err := unpackClaims(data)
	if err != nil {
		return err
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if s.l.look().domain != from.Domain {
		s.l.domains.take(string(from.Domain), claims, s.l.silence())
	}
	return nil
}

// shareSection tells a domain its shares. It implements hornbeamstage.Section.
type shareSection struct{ l *Limiter }

// shares is its digest.
type shares struct {
	_ struct{} `cbor:",toarray"`
	// Whole tells that the representative hears all domains.
	Whole bool
	// List has the encoded shares.
	List []cbor.RawMessage
}

// Name implements hornbeamstage.Section.
func (shareSection) Name() string { return "limit.shares" }

// Reach implements hornbeamstage.Section.
func (shareSection) Reach() hbs.Reach { return hbs.ReachDomain }

// Digest implements hornbeamstage.Section.
func (s shareSection) Digest(budget int) []byte {
	chosen := s.l.Chosen()
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if !chosen {
		l.resign()
		return nil
	}
	if len(l.look().domains) == 1 {
		return nil
	}
	whole, list := l.represent(time.Now())
	slices.SortFunc(list, func(a, b share) int { return cmp.Compare(a.Workspace, b.Workspace) })
	list = rotate(list, l.shareTurn)
	items := fitting(len(list), func(i int) any { return &list[i] }, budget)
	l.shareTurn += len(items)
	data, err := encoding.Marshal(shares{Whole: whole, List: items})
	if err != nil || len(data) > budget {
		return nil
	}
	return data
}

// Absorb implements hornbeamstage.Section.
func (s shareSection) Absorb(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "shares told by %q", from.ID) }()
	var told shares
	if err := cbor.Unmarshal(data, &told); err != nil {
		return err
	}
	if len(told.List) > maxClaims {
		return errors.Newf("%d shares", len(told.List))
	}
	list := make([]share, len(told.List))
	for i := range list {
		if err := cbor.Unmarshal(told.List[i], &list[i]); err != nil {
			return err
		}
		if err := list[i].validate(); err != nil {
			return err
		}
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if s.l.look().domain == from.Domain {
		s.l.told(from.ID, told.Whole, list)
	}
	return nil
}

// packClaims encodes as many claims as budget holds, those first whose turn it
// is, and returns which.
func packClaims(claims []claim, turn *int, budget int) (data []byte, sent []claim) {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.Workspace, b.Workspace) })
	claims = rotate(claims, *turn)
	items := fitting(len(claims), func(i int) any { return &claims[i] }, budget)
	data, err := encoding.Marshal(items)
	if err != nil || len(data) > budget {
		return nil, nil
	}
	*turn += len(items)
	return data, claims[:len(items)]
}

func unpackClaims(data []byte) (claims []claim, err error) {
	if err := cbor.Unmarshal(data, &claims); err != nil {
		return nil, err
	}
	if len(claims) > maxClaims {
		return nil, errors.Newf("%d claims", len(claims))
	}
	for i := range claims {
		if err := claims[i].validate(); err != nil {
			return nil, err
		}
	}
	return claims, nil
}

// rotate returns list from the item whose turn it is on.
func rotate[T any](list []T, turn int) []T {
	if len(list) == 0 {
		return list
	}
	turn %= len(list)
	return append(list[turn:len(list):len(list)], list[:turn]...)
}

// fitting encodes as many of n items as budget holds. The result is not nil.
func fitting(n int, item func(i int) any, budget int) []cbor.RawMessage {
	items := []cbor.RawMessage{}
	budget -= listBytes
	for i := range n {
		data, err := encoding.Marshal(item(i))
		if err != nil || len(data) > budget {
			break
		}
		budget -= len(data)
		items = append(items, data)
	}
	return items
}
