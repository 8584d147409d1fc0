// Package platform is a stand-in for the platform's object API as
// docs/protocols.md describes it. It counts calls by kind and has faults that
// can be turned on: an outage, slow answers, and answers that are lost after
// the change has taken effect.
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
)

// Limits and delays of the platform.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	// answerTime is how long a call takes.
	answerTime = 2 * time.Millisecond
	// bookmarkEvery is the time between two bookmarks of a watch.
	bookmarkEvery = 5 * time.Second
	// keptChanges is the number of changes that a watch can start from.
	keptChanges = 1000
)

// lagging kinds are lists that the platform maintains and updates late.
var lagging = map[hbs.ObjectKind]bool{hbs.ObjectInstance: true, hbs.ObjectEndpoint: true}

// Platform is the stand-in. Exported fields are set before Run.
type Platform struct {
	Address netip.AddrPort
	Network hbs.Network
	// ListLag is how late the lists of instances and endpoints are.
	ListLag time.Duration
	Seed    uint64

	once    sync.Once
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[objectKey]Object
	rev     uint64
	changes []change
	// oldest is the newest revision that is no longer among changes.
	oldest  uint64
	changed chan struct{}
	writes  *rate.Limiter
	reads   *rate.Limiter
	calls   map[CallKind]int
	faults  faults
	// pages is the state that the last page was cut from.
	pages snapshot
	// serving is set by Run; what was stored before does not lag.
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
	// Status is kept for the second form alone.
	Status json.RawMessage `json:"-"`
}

// Metadata is the wire form of an object's name and revision.
type Metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resource_version,omitempty"`
	// Continue is set in listings that have more pages.
	Continue string `json:"continue,omitempty"`
}

// change is one entry of the log that watches read.
type change struct {
	rev    uint64
	at     time.Time
	verb   string
	object Object
	// before is what object replaced; that of an added object is empty.
	before Object
}

// CallKind counts calls of one sort, such as "update leases".
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
		p.objects = map[objectKey]Object{}
		p.changed = make(chan struct{})
		p.calls = map[CallKind]int{}
		p.writes = rate.NewLimiter(writesPerSecond, writesPerSecond)
		p.reads = rate.NewLimiter(readsPerSecond, readsPerSecond)
	})
}

// Put stores a value unconditionally, as the platform's own machinery or an
// operator does. It may be called before Run.
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
	p.drop(objectKey{kind, name})
}

// Peek returns the stored value of an object, or nil.
func (p *Platform) Peek(kind hbs.ObjectKind, name string) json.RawMessage {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects[objectKey{kind, name}].Spec
}

// PeekAll returns the stored values of all objects of a kind, in no order.
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

// Calls returns the calls so far by sort. A watch counts as one.
func (p *Platform) Calls() map[CallKind]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[CallKind]int, len(p.calls))
	for k, n := range p.calls {
		m[k] = n
	}
	return m
}
