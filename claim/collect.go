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
	// pageBytes is about how much one page of claims should carry; the platform's
	// client takes eight times as much.
	pageBytes = 2 << 20
	// firstPage is the length of the first page, before anything is known of the
	// claims' size, and maxPage the longest.
	firstPage = 16
	maxPage   = 500
	// maxDue bounds the claims that are known to be due at once.
	maxDue = 4096
	// maxExpired bounds the tokens that may be too old without getting further.
	maxExpired = 3
	// maxUnanswered is how many removals in a row may go unanswered.
	maxUnanswered = 3
)

// Collect removes the claims of this domain's share that C10 allows to remove, if
// this instance is the domain's collector. Two collectors at once do no harm.
//
// Claims are listed in pages, which need not show one moment: a claim is removed
// on the revision that was read. When many are due the listing stops, they are
// removed, and the listing goes on, so that memory is bounded.
func (s *Store) Collect(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "collect claims") }()
	s.init()
	domains, collector := s.collectors()
	if collector != s.Self.ID {
		return nil
	}
	l := listing{
		Store:   s,
		domains: domains,
		reads:   rate.NewLimiter(rate.Limit(s.Policy.Number(KnobCollectReads, s.scope())), 1),
		limit:   firstPage,
	}
	removals := rate.NewLimiter(rate.Limit(s.Policy.Number(KnobCollectRate, s.scope())), 1)
	for !l.ended {
		due, listed := l.due(ctx)
		// What was found before a failure is removed all the same.
		if err := s.remove(ctx, removals, due); err != nil {
			return err
		}
		if listed != nil {
			return listed
		}
	}
	return nil
}

// remove removes the claims at the rate of limit. It gives up when the platform
// leaves several calls in a row unanswered. A claim whose removal was not answered
// is found again by the next collection, unless it is gone.
func (s *Store) remove(ctx context.Context, limit *rate.Limiter, due []hbs.Object) error {
	unanswered := 0
	for _, obj := range due {
		if err := limit.Wait(ctx); err != nil {
			return err
		}
		err := s.writer(true).Delete(ctx, obj)
		unanswered++
		switch {
		case err == nil:
			s.inc(meterRemoved)
			unanswered = 0
		case object.Is(err, hbs.ErrNotFound), object.Is(err, hbs.ErrConflict):
			unanswered = 0
		case unanswered == maxUnanswered:
			return err
		}
	}
	return nil
}

// listing reads all claims, page by page.
type listing struct {
	*Store
	domains []hbs.DomainName
	reads   *rate.Limiter
	// limit is the length of the next page.
	limit int
	// token continues the listing. Offered ones came in place of one too old.
	token   string
	offered bool
	// expired counts the tokens that were too old. Pages of offered tokens make
	// it zero, for they get further; those of a listing begun anew do not.
	expired int
	ended   bool
}

// due lists until the end or until maxDue claims are found to be due. They come
// without their values, also with an error.
func (l *listing) due(ctx context.Context) (due []hbs.Object, err error) {
	for !l.ended && len(due) < maxDue {
		if err := l.reads.Wait(ctx); err != nil {
			return due, err
		}
		page, err := l.page(ctx)
		if err != nil {
			return due, err
		}
		for _, obj := range page.Objects {
			if pick(obj.Name, l.domains) == l.Self.Domain && isDue(obj) {
				due = append(due, hbs.Object{Kind: obj.Kind, Name: obj.Name, Revision: obj.Revision})
			}
		}
	}
	return due, nil
}

// page reads one page and prepares for the next. Without an error the page may
// be empty and the listing not at its end.
func (l *listing) page(ctx context.Context) (hbs.Page, error) {
	l.inc(meterReads)
	page, err := l.Platform.ListPage(ctx, hbs.ObjectClaim, l.limit, l.token)
	switch {
	case object.Is(err, hbs.ErrCompacted):
		return hbs.Page{}, l.goOn(page.Continue, err)
	case err != nil && l.limit > firstPage:
		// It may have been too long.
		l.limit = max(firstPage, l.limit/4)
		return hbs.Page{}, nil
	case err != nil:
		return hbs.Page{}, err
	}
	if l.offered {
		l.expired = 0
	}
	l.token, l.ended = page.Continue, page.Continue == ""
	l.limit = nextLimit(l.limit, page.Objects)
	return page, nil
}

// goOn deals with a token that was too old: by the one offered in its place, else
// by a new listing, unless there were too many.
func (l *listing) goOn(token string, err error) error {
	l.inc(meterExpired)
	l.token, l.offered = token, token != ""
	l.expired++
	if l.expired > maxExpired {
		return err
	}
	return nil
}

// nextLimit returns the length of the page after one of so many objects. It
// grows fourfold at most, as the next claims may be larger.
func nextLimit(limit int, objects []hbs.Object) int {
	size := 0
	for _, obj := range objects {
		size += len(obj.Name) + len(obj.Value)
	}
	if size == 0 {
		return limit
	}
	fits := pageBytes * len(objects) / size
	return max(1, min(fits, 4*limit, maxPage))
}

func isDue(obj hbs.Object) bool {
	c, err := decode(obj.Value)
	return err == nil && c.removable(time.Now())
}
