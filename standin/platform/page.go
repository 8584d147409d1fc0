package platform

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// token is the position at which a paged list continues. Callers receive it
// encoded and treat it as opaque.
type token struct {
	// Revision is the revision that the list shows, or zero for the newest one.
	Revision uint64 `json:"revision"`
	// After is the name of the last object returned.
	After string `json:"after"`
}

func (t token) encode() string {
	b, _ := json.Marshal(t)
	return base64.RawURLEncoding.EncodeToString(b)
}

func decodeToken(text string) (t token, err error) {
	if text == "" {
		return token{}, nil
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return token{}, err
	}
	return t, json.Unmarshal(b, &t)
}

// snapshot is the state of one kind at a revision.
type snapshot struct {
	kind  hbs.ObjectKind
	rev   uint64
	items []Object
}

// Compact discards all logged changes. Watches from earlier revisions and earlier
// continue tokens fail afterwards.
func (p *Platform) Compact() {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	p.changes = nil
	p.oldest = p.rev
}

// page answers a list call that has a limit or a token. If the token is too old,
// the refusal carries a token that continues in the newest state, as in the
// Kubernetes API. The caller holds mu.
func (p *Platform) page(c call) reply {
	from, err := decodeToken(c.token)
	limit, limitErr := strconv.Atoi(c.limit)
	if err != nil || limitErr != nil || limit < 1 {
		return reply{http.StatusBadRequest, message("limit or continue token is not valid")}
	}
	if from.Revision != 0 && from.Revision < p.oldest {
		return reply{http.StatusGone, expired{message("the continue token is too old"), Metadata{Continue: token{0, from.After}.encode()}}}
	}
	s := p.snapshot(c.kind, from.Revision)
	first, found := slices.BinarySearchFunc(s.items, from.After, func(o Object, name string) int { return strings.Compare(o.Metadata.Name, name) })
	if found {
		first++
	}
	answer := listing{Metadata{ResourceVersion: strconv.FormatUint(s.rev, 10)}, s.items[first:]}
	if len(answer.Items) > limit {
		answer.Items = answer.Items[:limit]
		answer.Metadata.Continue = token{s.rev, answer.Items[limit-1].Metadata.Name}.encode()
	}
	return reply{http.StatusOK, answer}
}

// expired is the response body for a continue token that is too old.
type expired struct {
	status
	Metadata Metadata `json:"metadata"`
}

// snapshot returns the state of kind at rev, or the newest visible state if rev is
// zero. It caches the result for the following pages of a list.
func (p *Platform) snapshot(kind hbs.ObjectKind, rev uint64) *snapshot {
	if rev == 0 {
		items, newest := p.list(kind)
		p.pages = snapshot{kind, newest, items}
	}
	if rev != 0 && (p.pages.kind != kind || p.pages.rev != rev) {
		p.pages = snapshot{kind, rev, p.listAt(kind, rev)}
	}
	return &p.pages
}
