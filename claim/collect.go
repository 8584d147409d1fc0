package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
)

const (
	// targetPageBytes is the intended size of a page of claims. The platform's
	// client accepts pages of up to eight times this size.
	targetPageBytes = 2 << 20
	// initialPageLimit is the number of claims in the first page, as their size
	// is not known yet. maxPageLimit is the largest number in any page.
	initialPageLimit = 16
	maxPageLimit     = 500
	// maxRemovableClaims limits the removable claims in memory at once.
	maxRemovableClaims = 4096
	// maxExpiredTokens is how many expired continue tokens are tolerated without
	// progress of the listing.
	maxExpiredTokens = 3
	// maxFailedRemovals is the number of failed removals in a row that ends a
	// collection.
	maxFailedRemovals = 3
)

// Collect runs one garbage collection: it removes the removable claims (C10) of
// this failure domain's share if this instance is the collector of the domain,
// else it does nothing. Rendezvous hashing assigns each claim to a domain and
// each domain to its collector. Two collectors at the same time do no harm.
//
// The pages of the listing need not be from one consistent snapshot, because
// each removal is conditional on the revision that was read. To bound memory,
// the listing pauses whenever many removable claims were found and resumes after
// their removal.
func (s *Store) Collect(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "collect claims") }()
	s.init()
	domains, collector := s.domainsAndCollector()
	if collector != s.Self.ID {
		return nil
	}
	l := listing{
		Store:       s,
		domains:     domains,
		readLimiter: rate.NewLimiter(rate.Limit(s.Policy.Number(KnobCollectReads, s.scope())), 1),
		pageLimit:   initialPageLimit,
	}
	removals := rate.NewLimiter(rate.Limit(s.Policy.Number(KnobRemovalRate, s.scope())), 1)
	for !l.done {
		removable, listErr := l.nextRemovable(ctx)
		// Claims found to be removable before the error are still removed.
		if err := s.remove(ctx, removals, removable); err != nil {
			return err
		}
		if listErr != nil {
			return listErr
		}
	}
	return nil
}

// remove removes the claims at the rate of limiter. It stops with an error after
// several failed calls in a row. A claim whose removal got no response is found
// again by the next collection if it still exists.
func (s *Store) remove(ctx context.Context, limiter *rate.Limiter, claims []hbs.Object) error {
	failed := 0
	for _, obj := range claims {
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		err := s.writer(true).Delete(ctx, obj)
		failed++
		switch {
		case err == nil:
			s.inc(meterRemoved)
			failed = 0
		case object.Is(err, hbs.ErrNotFound), object.Is(err, hbs.ErrConflict):
			failed = 0
		case failed == maxFailedRemovals:
			return err
		}
	}
	return nil
}

// listing reads all claims, page by page.
type listing struct {
	*Store
	domains     []hbs.DomainName
	readLimiter *rate.Limiter
	// pageLimit is the number of claims requested for the next page.
	pageLimit int
	// token continues the listing; empty at the start. tokenReplaced is set if
	// the platform returned it in place of an expired token.
	token         string
	tokenReplaced bool
	// expiredTokens counts expired tokens. A page read with a replacement token
	// resets it, as the listing progresses; a page of a restarted listing does
	// not.
	expiredTokens int
	done          bool
}

// nextRemovable reads pages until the end of the listing or until maxRemovableClaims
// removable claims of this domain's share are found. It returns them without
// their values, also together with an error.
func (l *listing) nextRemovable(ctx context.Context) (removable []hbs.Object, err error) {
	for !l.done && len(removable) < maxRemovableClaims {
		if err := l.readLimiter.Wait(ctx); err != nil {
			return removable, err
		}
		page, err := l.nextPage(ctx)
		if err != nil {
			return removable, err
		}
		for _, obj := range page.Objects {
			if rendezvous(obj.Name, l.domains) == l.Self.Domain && isRemovable(obj) {
				removable = append(removable, hbs.Object{Kind: obj.Kind, Name: obj.Name, Revision: obj.Revision})
			}
		}
	}
	return removable, nil
}

// nextPage reads one page and prepares the next call. After an error that can be
// retried it returns an empty page and no error, with the listing not done.
func (l *listing) nextPage(ctx context.Context) (hbs.Page, error) {
	l.inc(meterReads)
	page, err := l.Platform.ListPage(ctx, hbs.ObjectClaim, l.pageLimit, l.token)
	switch {
	case object.Is(err, hbs.ErrCompacted):
		return hbs.Page{}, l.replaceToken(page.Continue, err)
	case err != nil && l.pageLimit > initialPageLimit:
		// The page may have been too large.
		l.pageLimit = max(initialPageLimit, l.pageLimit/4)
		return hbs.Page{}, nil
	case err != nil:
		return hbs.Page{}, err
	}
	if l.tokenReplaced {
		l.expiredTokens = 0
	}
	l.token, l.done = page.Continue, page.Continue == ""
	l.pageLimit = nextPageLimit(l.pageLimit, page.Objects)
	return page, nil
}

// replaceToken continues after an expired token: with the replacement token if
// there is one, else with a new listing. It returns err after too many expired
// tokens.
func (l *listing) replaceToken(token string, err error) error {
	l.inc(meterListingsExpired)
	l.token, l.tokenReplaced = token, token != ""
	l.expiredTokens++
	if l.expiredTokens > maxExpiredTokens {
		return err
	}
	return nil
}

// nextPageLimit returns the limit of the page that follows one of the given
// objects. It grows at most fourfold, as the next claims may be larger.
func nextPageLimit(limit int, objects []hbs.Object) int {
	size := 0
	for _, obj := range objects {
		size += len(obj.Name) + len(obj.Value)
	}
	if size == 0 {
		return limit
	}
	fits := targetPageBytes * len(objects) / size
	return max(1, min(fits, 4*limit, maxPageLimit))
}

func isRemovable(obj hbs.Object) bool {
	c, err := decode(obj.Value)
	return err == nil && c.canRemove(time.Now())
}
