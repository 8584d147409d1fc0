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
	// maxClaims is the largest number of claims or shares that is accepted from
	// one sender.
	maxClaims = 4096
	// listOverhead is the size in bytes of a digest without its items, at most.
	listOverhead = 5
)

// encoding writes floats in the fewest bytes that hold them exactly.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Sections returns the digest sections that the instance exchanges with others.
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

// Digest implements hornbeamstage.Section. It returns an empty list rather than
// nil, so that peers know that this instance is alive.
func (s claimSection) Digest(budget int) []byte {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	v := l.refreshView()
	oldest := l.siblings.oldestContact(v.siblings, string(l.Self), now)
	for _, a := range l.accounts {
		a.state.confirm(oldest)
	}
	claims := l.claimsToPublish(now)
	data, sent := packClaims(claims, &l.claimTurn, budget)
	for _, c := range sent {
		l.accounts[c.Workspace].state.recordPublished(c, now)
	}
	return data
}

// claimsToPublish returns the claims to publish in the domain, and deletes
// inactive accounts.
func (l *Limiter) claimsToPublish(now time.Time) (claims []claim) {
	for id, a := range l.accounts {
		if a.inactive(now) && a.state.withdrawn(now) {
			delete(l.accounts, id)
			continue
		}
		limits := l.Limits(id)
		part, _ := l.domainPart(id, limits, now)
		c := a.claim(l.small(limits), now)
		near := c.nearShare(limits, l.instanceSplitter(id, limits, part, c).withoutClaim())
		if c, due := a.state.toPublish(c, near, now); due {
			claims = append(claims, c)
		}
	}
	return claims
}

// Merge implements hornbeamstage.Section.
func (s claimSection) Merge(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "claims of instance %q", from.ID) }()
	claims, err := unpackClaims(data)
	if err != nil {
		return err
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if s.l.refreshView().domain == from.Domain {
		s.l.siblings.update(string(from.ID), claims, s.l.silence())
	}
	return nil
}

// sumSection exchanges the sums of domains between their representatives. It
// implements hornbeamstage.Section.
type sumSection struct{ l *Limiter }

// Name implements hornbeamstage.Section.
func (sumSection) Name() string { return "limit.sums" }

// Reach implements hornbeamstage.Section.
func (sumSection) Reach() hbs.Reach { return hbs.ReachRepresentatives }

// Digest implements hornbeamstage.Section.
func (s sumSection) Digest(budget int) []byte {
	isRepresentative := s.l.IsRepresentative()
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isRepresentative {
		return nil
	}
	now := time.Now()
	v := l.refreshView()
	oldest := l.domains.oldestContact(v.domains, string(v.domain), now)
	for _, sum := range l.sums {
		sum.confirm(oldest)
	}
	data, sent := packClaims(l.sumsToPublish(now), &l.sumTurn, budget)
	for _, c := range sent {
		l.sums[c.Workspace].recordPublished(c, now)
	}
	return data
}

// sumsToPublish returns the sums to publish to other domains.
func (l *Limiter) sumsToPublish(now time.Time) (claims []claim) {
	for id, s := range l.sums {
		c, limits := l.total(id), l.Limits(id)
		near := c.nearShare(limits, l.domainSplitter(id, limits, c).withoutClaim())
		if c, due := s.toPublish(c, near, now); due {
			claims = append(claims, c)
		}
	}
	return claims
}

// Merge implements hornbeamstage.Section.
func (s sumSection) Merge(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "sum of domain %q", from.Domain) }()
	claims, err := unpackClaims(data)
	if err != nil {
		return err
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if s.l.refreshView().domain != from.Domain {
		s.l.domains.update(string(from.Domain), claims, s.l.silence())
	}
	return nil
}

// shareSection sends a domain's shares to its instances. It implements
// hornbeamstage.Section.
type shareSection struct{ l *Limiter }

// shareDigest is the digest of shareSection.
type shareDigest struct {
	_ struct{} `cbor:",toarray"`
	// Complete means that no domain is silent to the representative (rule 9).
	Complete bool
	// List has the encoded shares.
	List []cbor.RawMessage
}

// Name implements hornbeamstage.Section.
func (shareSection) Name() string { return "limit.shares" }

// Reach implements hornbeamstage.Section.
func (shareSection) Reach() hbs.Reach { return hbs.ReachDomain }

// Digest implements hornbeamstage.Section.
func (s shareSection) Digest(budget int) []byte {
	isRepresentative := s.l.IsRepresentative()
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isRepresentative {
		l.stopRepresenting()
		return nil
	}
	if len(l.refreshView().domains) == 1 {
		return nil
	}
	complete, list := l.computeShares(time.Now())
	slices.SortFunc(list, func(a, b share) int { return cmp.Compare(a.Workspace, b.Workspace) })
	list = rotate(list, l.shareTurn)
	items := encodeFitting(len(list), func(i int) any { return &list[i] }, budget)
	l.shareTurn += len(items)
	data, err := encoding.Marshal(shareDigest{Complete: complete, List: items})
	if err != nil || len(data) > budget {
		return nil
	}
	return data
}

// Merge implements hornbeamstage.Section.
func (s shareSection) Merge(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "shares from instance %q", from.ID) }()
	var digest shareDigest
	if err := cbor.Unmarshal(data, &digest); err != nil {
		return err
	}
	if len(digest.List) > maxClaims {
		return errors.Newf("too many shares: %d", len(digest.List))
	}
	list := make([]share, len(digest.List))
	for i := range list {
		if err := cbor.Unmarshal(digest.List[i], &list[i]); err != nil {
			return err
		}
		if err := list[i].validate(); err != nil {
			return err
		}
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if s.l.refreshView().domain == from.Domain {
		s.l.storeShares(from.ID, digest.Complete, list)
	}
	return nil
}

// packClaims encodes as many claims as budget holds, round-robin from turn, and
// returns the data and the claims in it.
func packClaims(claims []claim, turn *int, budget int) (data []byte, sent []claim) {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.Workspace, b.Workspace) })
	claims = rotate(claims, *turn)
	items := encodeFitting(len(claims), func(i int) any { return &claims[i] }, budget)
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
		return nil, errors.Newf("too many claims: %d", len(claims))
	}
	for i := range claims {
		if err := claims[i].validate(); err != nil {
			return nil, err
		}
	}
	return claims, nil
}

// rotate returns list rotated left by turn items.
func rotate[T any](list []T, turn int) []T {
	if len(list) == 0 {
		return list
	}
	turn %= len(list)
	return append(list[turn:len(list):len(list)], list[:turn]...)
}

// encodeFitting encodes as many of n items as budget holds. The result is not
// nil.
func encodeFitting(n int, item func(i int) any, budget int) []cbor.RawMessage {
	items := []cbor.RawMessage{}
	budget -= listOverhead
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
