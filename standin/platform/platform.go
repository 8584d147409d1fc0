// Package platform is a stand-in for the platform's object API as
// docs/protocols.md describes it. It counts calls by verb and kind and can inject
// faults: an outage, slow answers, and answers that are lost after the change has
// taken effect.
package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// Limits and delays of the platform.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	// answerTime is the duration of a call.
	answerTime = 2 * time.Millisecond
	// bookmarkInterval is the time between two bookmark events of an idle watch.
	bookmarkInterval = 5 * time.Second
	// maxChanges is the capacity of the log of changes. A watch from an older
	// revision is refused.
	maxChanges = 1000
)

// lagging contains the kinds whose lists and watches trail behind by ListLag.
var lagging = map[hbs.ObjectKind]bool{hbs.ObjectInstance: true, hbs.ObjectEndpoint: true}

// Platform is a simulated platform. Exported fields are set before Run.
type Platform struct {
	Address netip.AddrPort
	Network hbs.Network
	// ListLag is the delay after which a change appears in the lists and watches of
	// instances and endpoints.
	ListLag time.Duration
	Seed    uint64

	once    sync.Once
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[objectKey]Object
	rev     uint64
	// era counts the restores of the store, and starts at 1.
	era     uint64
	changes []change
	// oldest is the newest revision that was removed from changes, and so the oldest
	// one that a watch can start after.
	oldest  uint64
	changed notification.Signal
	writes  *rate.Limiter
	reads   *rate.Limiter
	calls   map[CallKind]int
	faults  faults
	// verbatim has the bytes that stand for parts of responses.
	verbatim []replacement
	// pages is the snapshot from which the last page was taken.
	pages snapshot
	// serving is set by Run. Objects stored before are visible without ListLag.
	serving bool
}

type objectKey struct {
	kind hbs.ObjectKind
	name string
}

// Object is the wire form of an object.
type Object struct {
	Kind     hbs.ObjectKind  `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	// Status is part of the second form of the API only.
	Status json.RawMessage `json:"-"`
}

// Metadata is the wire form of an object's name and revision.
type Metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resource_version,omitempty"`
	// Continue is the token for the next page, or empty on the last page.
	Continue string `json:"continue,omitempty"`
}

// change is one entry of the log that watches read.
type change struct {
	rev    uint64
	at     time.Time
	verb   string
	object Object
	// before is the previous state of the object, empty if it was added.
	before Object
}

// CallKind identifies a category of calls, such as "update leases".
type CallKind struct {
	Verb string
	Kind hbs.ObjectKind
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "platform") }()
	p.init()
	l, err := p.Network.Listen(p.Address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.serving = true
	p.mu.Unlock()
	srv := &http.Server{Handler: p.handler()}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(l) })
	<-ctx.Done()
	srv.Close()
	wg.Wait()
	return ctx.Err()
}

func (p *Platform) init() {
	p.once.Do(func() {
		p.rng = rand.New(rand.NewPCG(p.Seed, 2))
		p.objects, p.era = map[objectKey]Object{}, 1
		p.calls = map[CallKind]int{}
		p.writes = rate.NewLimiter(writesPerSecond, writesPerSecond)
		p.reads = rate.NewLimiter(readsPerSecond, readsPerSecond)
	})
}

// Put stores a value unconditionally, as controllers of the platform or an operator
// do. It may be called before Run.
func (p *Platform) Put(kind hbs.ObjectKind, name string, value any) (err error) {
	defer func() { err = errors.Wrapf(err, "put %s %s", kind, name) }()
	spec, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store(Object{Kind: kind, Metadata: Metadata{Name: name}, Spec: spec})
	return nil
}

// Remove deletes an object unconditionally.
func (p *Platform) Remove(kind hbs.ObjectKind, name string) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(objectKey{kind, name})
}

// Peek returns the stored value of an object, or nil.
func (p *Platform) Peek(kind hbs.ObjectKind, name string) json.RawMessage {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects[objectKey{kind, name}].Spec
}

// PeekAll returns the stored values of all objects of a kind in unspecified order.
func (p *Platform) PeekAll(kind hbs.ObjectKind) (values []json.RawMessage) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, o := range p.objects {
		if k.kind == kind {
			values = append(values, o.Spec)
		}
	}
	return values
}

// Calls returns the number of calls so far by category. A watch counts as one call.
func (p *Platform) Calls() map[CallKind]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[CallKind]int, len(p.calls))
	for k, n := range p.calls {
		m[k] = n
	}
	return m
}
