package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The second form of the API (docs/protocols.md): revisions are numbers, pages
// continue after an object name, and a watch is a long poll that returns at the
// first changes.

// pageItems is the maximum number of items in one page of the second form.
const pageItems = 3

// numbered is an object in the second form.
type numbered struct {
	Metadata numberedMetadata `json:"metadata"`
	Spec     json.RawMessage  `json:"spec"`
	Status   json.RawMessage  `json:"status,omitempty"`
}

type numberedMetadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

type numberedPage struct {
	Items    []numbered `json:"items"`
	More     bool       `json:"has-more"`
	Revision uint64     `json:"store-revision"`
}

type numberedEvents struct {
	Events   []numberedEvent `json:"events"`
	Revision uint64          `json:"store-revision"`
}

type numberedEvent struct {
	Object  numbered `json:"object"`
	Removed bool     `json:"removed"`
}

func toNumbered(o Object) numbered {
	return numbered{numberedMetadata{o.Metadata.Name, revisionOf(o)}, o.Spec, o.Status}
}

// revisionOf returns the revision of a stored object, whose ResourceVersion is
// always a decimal number.
func revisionOf(o Object) uint64 {
	rev, err := strconv.ParseUint(o.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return 0
	}
	return rev
}

func (p *Platform) addNumbered(r *httprouter.Router) {
	r.GET("/v1/objects/:kind/:name", p.handleNumbered(verbGet))
	r.GET("/v1/objects/:kind", p.listNumbered)
	r.POST("/v1/objects/:kind", p.handleNumbered(verbCreate))
	r.PUT("/v1/objects/:kind/:name", p.handleNumbered(verbUpdate))
	r.PUT("/v1/objects/:kind/:name/status", p.putStatus)
	r.DELETE("/v1/objects/:kind/:name", p.handleNumbered(verbDelete))
}

func (p *Platform) handleNumbered(v verb) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		c := call{verb: v, kind: hbs.ObjectKind(params.ByName("kind")), name: params.ByName("name"), rev: r.URL.Query().Get("revision")}
		if v.writes() && v != verbDelete {
			var body numbered
			if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
				write(w, reply{http.StatusBadRequest, message(err.Error())})
				return
			}
			c.rev = strconv.FormatUint(body.Metadata.Revision, 10)
			c.object = Object{Kind: c.kind, Metadata: Metadata{Name: body.Metadata.Name}, Spec: body.Spec}
		}
		if !p.admit(w, r, c) {
			return
		}
		answer := p.do(c)
		if p.answerLost(c) {
			panic(http.ErrAbortHandler)
		}
		if o, ok := answer.body.(Object); ok {
			answer.body = toNumbered(o)
		}
		write(w, answer)
	}
}

// putStatus replaces the status of an object.
func (p *Platform) putStatus(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	c := call{verb: verbUpdate, kind: hbs.ObjectKind(params.ByName("kind")), name: params.ByName("name")}
	var body numbered
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		write(w, reply{http.StatusBadRequest, message(err.Error())})
		return
	}
	if !p.admit(w, r, c) {
		return
	}
	answer := p.replaceStatus(objectKey{c.kind, c.name}, body.Status)
	if p.answerLost(c) {
		panic(http.ErrAbortHandler)
	}
	write(w, answer)
}

// replaceStatus stores the status of an object.
func (p *Platform) replaceStatus(key objectKey, status json.RawMessage) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.objects[key]
	if !ok {
		return reply{http.StatusNotFound, message("not found")}
	}
	old.Status = status
	return reply{http.StatusOK, toNumbered(p.store(old))}
}

func (p *Platform) listNumbered(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	kind := hbs.ObjectKind(params.ByName("kind"))
	if since := r.URL.Query().Get("watch"); since != "" {
		p.watchNumbered(w, r, kind, since)
		return
	}
	if !p.admit(w, r, call{verb: verbList, kind: kind}) {
		return
	}
	p.mu.Lock()
	items, rev := p.list(kind)
	p.mu.Unlock()
	page := numberedPage{Items: []numbered{}, Revision: rev}
	after := r.URL.Query().Get("after")
	for _, o := range items {
		if o.Metadata.Name <= after {
			continue
		}
		if page.More = len(page.Items) == pageItems; page.More {
			break
		}
		page.Items = append(page.Items, toNumbered(o))
	}
	write(w, reply{http.StatusOK, page})
}

func (p *Platform) watchNumbered(w http.ResponseWriter, r *http.Request, kind hbs.ObjectKind, since string) {
	rev, err := strconv.ParseUint(since, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		write(w, reply{http.StatusBadRequest, message("watch or wait-ms is not a number")})
		return
	}
	if !p.admit(w, r, call{verb: verbWatch, kind: kind}) {
		return
	}
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for {
		p.mu.Lock()
		found, upTo, ok := p.since(kind, rev)
		changed, outage := p.changed.Next(), p.faults.active().outage
		p.mu.Unlock()
		if outage {
			panic(http.ErrAbortHandler)
		}
		if !ok {
			write(w, reply{http.StatusGone, message("compacted")})
			return
		}
		if len(found) > 0 {
			write(w, reply{http.StatusOK, eventsOf(found, upTo)})
			return
		}
		select {
		case <-changed:
		case <-until.C:
			write(w, reply{http.StatusOK, eventsOf(nil, upTo)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func eventsOf(found []change, upTo uint64) numberedEvents {
	answer := numberedEvents{Events: []numberedEvent{}, Revision: upTo}
	for _, c := range found {
		answer.Events = append(answer.Events, numberedEvent{toNumbered(c.object), c.verb == deleted})
	}
	return answer
}
