package platform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Copy is the state of the store at one moment.
type Copy struct {
	objects map[objectKey]Object
	changes []change
	rev     uint64
}

// Copy returns a copy of the store.
func (p *Platform) Copy() Copy {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{maps.Clone(p.objects), slices.Clone(p.changes), p.rev}
}

// Restore aborts the connection of every call and watch for the next d. After it the
// store is as it was in the copy, with what then changed, in the next era: what was
// written since the copy is lost, and its revisions are given out again. then runs
// during the outage.
func (p *Platform) Restore(c Copy, d time.Duration, then func()) {
	p.Outage(d)
	p.mu.Lock()
	p.objects, p.changes, p.rev = maps.Clone(c.objects), slices.Clone(c.changes), c.rev
	p.era++
	p.changed.Send()
	p.mu.Unlock()
	then()
}

// setEra names the era of the store in a response.
func (p *Platform) setEra(h http.Header) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.Set("Store-Era", strconv.FormatUint(p.era, 10))
}
