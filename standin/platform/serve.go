package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// maxBody is the largest request body, in bytes: the largest value and 4 KiB for
// its envelope.
const maxBody = hbs.MaxObjectBytes + 4096

// verb is the operation of a call.
type verb string

const (
	verbGet    verb = "get"
	verbList   verb = "list"
	verbWatch  verb = "watch"
	verbCreate verb = "create"
	verbUpdate verb = "update"
	verbDelete verb = "delete"
)

func (v verb) writes() bool { return v == verbCreate || v == verbUpdate || v == verbDelete }

// reply is the status and body of the response to a call.
type reply struct {
	status int
	body   any
}

// call is one decoded call.
type call struct {
	verb   verb
	kind   hbs.ObjectKind
	name   string
	rev    string
	object Object
	// limit and token are the query parameters of a paged list.
	limit, token string
}

func (p *Platform) handler() http.Handler {
	r := httprouter.New()
	r.GET("/apis/v1/:kind/:name", p.handle(verbGet))
	r.GET("/apis/v1/:kind", p.serveKind)
	r.POST("/apis/v1/:kind", p.handle(verbCreate))
	r.PUT("/apis/v1/:kind/:name", p.handle(verbUpdate))
	r.DELETE("/apis/v1/:kind/:name", p.handle(verbDelete))
	p.addNumbered(r)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		p.setEra(w.Header())
		r.ServeHTTP(verbatimWriter{w, p}, req)
	})
}

func (p *Platform) serveKind(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if r.URL.Query().Get("watch") == "true" {
		p.serveWatch(w, r, hbs.ObjectKind(params.ByName("kind")))
		return
	}
	p.handle(verbList)(w, r, params)
}

func (p *Platform) handle(v verb) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		c := call{
			verb: v,
			kind: hbs.ObjectKind(params.ByName("kind")),
			name: params.ByName("name"),
			rev:  r.URL.Query().Get("resource_version"),

			limit: r.URL.Query().Get("limit"),
			token: r.URL.Query().Get("continue"),
		}
		if err := decode(r, &c); err != nil {
			write(w, reply{http.StatusBadRequest, message(err.Error())})
			return
		}
		if !p.admit(w, r, c) {
			return
		}
		answer := p.do(c)
		if p.answerLost(c) {
			panic(http.ErrAbortHandler)
		}
		write(w, answer)
	}
}

func decode(r *http.Request, c *call) error {
	if c.verb != verbCreate && c.verb != verbUpdate {
		return nil
	}
	b, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &c.object); err != nil {
		return err
	}
	c.object.Kind = c.kind
	if c.verb == verbUpdate {
		c.object.Metadata.Name = c.name
		c.rev = c.object.Metadata.ResourceVersion
	}
	return nil
}

// admit counts the call and applies outages, delays and rate limits. It reports
// whether the call may proceed, and else has written the response. In an outage it
// panics to abort the connection.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, c call) bool {
	p.mu.Lock()
	p.calls[CallKind{string(c.verb), c.kind}]++
	limit := p.reads
	if c.verb.writes() {
		limit = p.writes
	}
	allowed := limit.Allow()
	f := p.faults.active()
	p.mu.Unlock()
	_ = delay.For(r.Context(), answerTime+f.slow)
	if f.outage {
		panic(http.ErrAbortHandler)
	}
	if !allowed {
		w.Header().Set("Retry-After", "1")
		write(w, reply{http.StatusTooManyRequests, message("rate limit")})
	}
	return allowed
}

// do executes a call.
func (p *Platform) do(c call) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := objectKey{c.kind, c.name}
	if c.verb == verbCreate {
		k.name = c.object.Metadata.Name
	}
	old, exists := p.objects[k]
	switch {
	case c.verb == verbList && c.limit+c.token != "":
		return p.page(c)
	case c.verb == verbList:
		items, rev := p.list(c.kind)
		return reply{http.StatusOK, listing{Metadata{ResourceVersion: strconv.FormatUint(rev, 10)}, items}}
	case c.verb == verbCreate && exists:
		return reply{http.StatusConflict, message("exists")}
	case c.verb == verbCreate:
		return reply{http.StatusCreated, p.store(c.object)}
	case !exists:
		return reply{http.StatusNotFound, message("not found")}
	case c.verb == verbGet:
		return reply{http.StatusOK, old}
	case c.rev != old.Metadata.ResourceVersion:
		return reply{http.StatusConflict, message("resource version differs")}
	case c.verb == verbUpdate:
		return reply{http.StatusOK, p.store(c.object)}
	}
	p.remove(k)
	return reply{http.StatusOK, old}
}

// listing is the response body of a list call.
type listing struct {
	Metadata Metadata `json:"metadata"`
	Items    []Object `json:"items"`
}

// watchLine is one line in the response to a watch.
type watchLine struct {
	Type   string `json:"type"`
	Object Object `json:"object"`
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind hbs.ObjectKind) {
	rev, err := strconv.ParseUint("0"+r.URL.Query().Get("resource_version"), 10, 64)
	if err != nil {
		write(w, reply{http.StatusBadRequest, message(err.Error())})
		return
	}
	if !p.admit(w, r, call{verb: verbWatch, kind: kind}) {
		return
	}
	p.mu.Lock()
	_, _, ok := p.since(kind, rev)
	p.mu.Unlock()
	if !ok {
		write(w, reply{http.StatusGone, message("compacted")})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	p.watch(r.Context(), w, kind, rev)
}

// watch sends changes until ctx ends, the revision is compacted or an outage begins.
func (p *Platform) watch(ctx context.Context, w http.ResponseWriter, kind hbs.ObjectKind, rev uint64) {
	enc := json.NewEncoder(w)
	lastBookmark := time.Now()
	for ctx.Err() == nil {
		p.mu.Lock()
		found, upTo, ok := p.since(kind, rev)
		changed, f := p.changed.Next(), p.faults.active()
		p.mu.Unlock()
		if !ok || f.outage {
			return
		}
		rev = upTo
		for _, c := range found {
			_ = enc.Encode(watchLine{c.verb, c.object})
		}
		if len(found) == 0 && time.Since(lastBookmark) >= bookmarkInterval {
			_ = enc.Encode(watchLine{bookmark, Object{Kind: kind, Metadata: Metadata{ResourceVersion: strconv.FormatUint(rev, 10)}}})
			lastBookmark = time.Now()
		}
		w.(http.Flusher).Flush()
		p.waitForChange(ctx, kind, changed)
	}
}

// waitForChange waits for a signal on changed, for at most watchPoll. Changes of
// lagging kinds become visible by the passage of time alone, so for these it ignores
// changed and waits for at most ListLag.
func (p *Platform) waitForChange(ctx context.Context, kind hbs.ObjectKind, changed <-chan struct{}) {
	wait := watchPoll
	if lagging[kind] && p.ListLag > 0 {
		changed = nil
		wait = min(wait, p.ListLag)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// watchPoll is the interval at which an idle watch checks for an outage or a due
// bookmark.
const watchPoll = 500 * time.Millisecond

// status is the response body of a refused call.
type status struct {
	Message string `json:"message"`
}

func message(s string) status { return status{s} }

func write(w http.ResponseWriter, r reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(r.body)
}
