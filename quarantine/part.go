package quarantine

import (
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// partKey identifies a part, or a whole request, which counts as a part behind the last
// one. Either id or request is set.
type partKey struct {
	model   hbs.ModelName
	id      hbs.PartID
	request hbs.Fingerprint
}

// crashID identifies the crash of one incarnation of an engine. again counts the
// crashes since the engine's record last told another incarnation.
type crashID struct {
	endpoint    hbs.EndpointID
	incarnation hbs.Incarnation
	again       int
}

// crash is a crash that counts against a part.
type crash struct {
	// at is when it was seen, and moment the time in moments, which others may have
	// told.
	at, moment time.Time
	// own is set if this instance saw it.
	own bool
	// depth is the place of the part in the prompt, from 0.
	depth int
}

// part is what is known about one part.
type part struct {
	// crashes are those that count, all later than since.
	crashes map[crashID]crash
	// since is the time of the last answer or the end of the last quarantine; zero
	// without either.
	since time.Time
	// before is the balance of the model before the first crash.
	before balance
	// depth is the deepest place of the part in prompts.
	depth int
	// lastCrash is the time of the latest crash that counted, and lastUnder that of the
	// latest one under the part.
	lastCrash, lastUnder time.Time
	// suspectSince is when the part became suspect; zero if it is not.
	suspectSince time.Time
	// trial is the request that tries the part, since trialStart; empty for none. For a
	// whole request it is the last trial, also when that has ended.
	trial      hbs.RequestID
	trialStart time.Time
	// told is set once a crash or quarantine was told to or by other instances, who
	// then have to know of an answer too.
	told bool
	// answeredAt is the time of the last answer that others have to know of; zero for
	// none.
	answeredAt time.Time
	// lastAnswer is the time of the last own answer. disputed is the end of a told
	// quarantine that was not adopted because of it. Both are zero without one.
	lastAnswer, disputed time.Time
	// until is the end of the quarantine, since from; zero while there is none.
	from, until time.Time
	// own is set if this instance itself found the quarantine to be due.
	own bool
	// offences is the number of quarantines so far.
	offences int
	// touched is when a crash was last added.
	touched time.Time
}

// mayTry reports whether a request may try the part (rule 6).
func (p *part) mayTry(now time.Time) bool {
	return now.Sub(p.lastUnder) >= trialPause && (p.trial == "" || now.Sub(p.trialStart) >= trialTime)
}

// forget drops the crashes up to at, which no longer count.
func (p *part) forget(at time.Time) {
	if !at.After(p.since) {
		return
	}
	p.since = at
	for id, c := range p.crashes {
		if !c.at.After(at) {
			delete(p.crashes, id)
		}
	}
}

// expire drops the crashes that no longer count (rule 7).
func (p *part) expire(now time.Time) {
	for id, c := range p.crashes {
		if now.Sub(c.at) > evidenceTTL {
			delete(p.crashes, id)
		}
	}
}

// dropBefore drops the oldest crash, if it is older than at.
func (p *part) dropBefore(at time.Time) bool {
	var oldest crashID
	first := at
	for id, c := range p.crashes {
		if c.at.Before(first) {
			oldest, first = id, c.at
		}
	}
	delete(p.crashes, oldest)
	return first.Before(at)
}

// firstCrash returns the time of the first crash that counts, or now without one.
func (p *part) firstCrash(now time.Time) time.Time {
	for _, c := range p.crashes {
		now = earlier(now, c.at)
	}
	return now
}

// others returns how many attempts were answered since a part's first crash, and their
// share of those that were answered or ended by other crashes than the part's, with
// priorCrashed more of the latter. What a part's own crashes ended tells nothing: a
// part that crashes engines takes others with it.
func (t *Tracker) others(k partKey, p *part) (answered int, share float64) {
	b := t.balance(k.model)
	answered = b.answered - p.before.answered
	crashed := b.crashed - p.before.crashed
	for _, m := range t.moments {
		if _, ok := p.crashes[m.id]; ok {
			crashed -= m.broken
		}
	}
	return answered, float64(answered) / (float64(answered+max(crashed, 0)) + priorCrashed)
}

// idle reports whether nothing of a part is of use any more.
func (p *part) idle(now time.Time) bool {
	if !p.until.IsZero() || now.Sub(p.answeredAt) <= answerTTL || p.offences > 0 && now.Sub(p.touched) < 2*maxDuration {
		return false
	}
	p.expire(now)
	return len(p.crashes) == 0
}

// ownEntries returns the number of entries that the instance's report has of a part,
// other than answers.
func (p *part) ownEntries() (n int) {
	if p.own {
		n++
	}
	for _, c := range p.crashes {
		if c.own {
			n++
		}
	}
	return n
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// part returns a part, which it adds if it is new. It returns nil if there is no
// room.
func (t *Tracker) part(k partKey, now time.Time) *part {
	if p := t.parts[k]; p != nil {
		return p
	}
	if t.parts == nil {
		t.parts = map[partKey]*part{}
	}
	if len(t.parts) >= maxParts && !t.evict() {
		return nil
	}
	p := &part{crashes: map[crashID]crash{}, touched: now}
	t.parts[k] = p
	return p
}

// evict removes the evicted parts whose last crashes are the oldest, of those that are
// neither quarantined nor suspect. It reports whether there was one.
func (t *Tracker) evict() bool {
	var keys []partKey
	for k, p := range t.parts {
		if p.until.IsZero() && t.suspects[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b partKey) int { return t.parts[a].touched.Compare(t.parts[b].touched) })
	for _, k := range keys[:min(len(keys), evicted)] {
		delete(t.parts, k)
	}
	return len(keys) > 0
}

// addCrash adds a crash that counts against a part, unless it is too old.
func (t *Tracker) addCrash(k partKey, id crashID, c crash, now time.Time) {
	p := t.part(k, now)
	if p == nil {
		return
	}
	if !c.own {
		p.told = true
	}
	if c.at.After(p.lastUnder) {
		p.lastUnder = c.at
	}
	if p.until.IsZero() && t.explained(id, k.sameKind) {
		return
	}
	p.expire(now)
	old, known := p.crashes[id]
	if known {
		c = crash{earlier(c.at, old.at), old.moment, c.own || old.own, c.depth}
	}
	if !c.at.After(p.since) || now.Sub(c.at) > evidenceTTL {
		return
	}
	if !known && len(p.crashes) >= maxCrashes && !p.dropBefore(c.at) {
		return
	}
	if len(p.crashes) == 0 {
		p.before = t.balances[k.model].at(c.at)
		if c.own {
			p.before = t.balance(k.model)
			p.before.crashed -= t.brokenBy(id)
		}
	}
	p.crashes[id] = c
	p.touched = now
	p.depth = max(p.depth, c.depth)
	if c.at.After(p.lastCrash) {
		p.lastCrash = c.at
	}
	t.suspect(k, p, now)
	if !p.until.IsZero() {
		t.explainAway(k, p, now)
	}
}

// distinctCrashes returns the number of crashes by rule 2.
func (t *Tracker) distinctCrashes(p *part) int {
	at := make([]time.Time, 0, len(p.crashes))
	for _, c := range p.crashes {
		at = append(at, c.moment)
	}
	slices.SortFunc(at, time.Time.Compare)
	n := 0
	var last time.Time
	for _, a := range at {
		if (n == 0 || a.Sub(last) >= sameMoment) && t.explains(p, a) {
			n, last = n+1, a
		}
	}
	return n
}

// explains reports whether a part was at minExplained or more of the engines that
// crashed within sameMoment of a time.
func (t *Tracker) explains(p *part, at time.Time) bool {
	with, all := 0, 0
	for _, m := range t.moments[t.firstMoment(at.Add(-sameMoment)):] {
		if m.at.Sub(at) > sameMoment {
			break
		}
		all++
		if _, ok := p.crashes[m.id]; ok {
			with++
		}
	}
	return with > 0 && float64(with) >= minExplained*float64(all)
}

// firstMoment returns the index of the first crash that is not before a time.
func (t *Tracker) firstMoment(at time.Time) int {
	i, _ := slices.BinarySearchFunc(t.moments, at, func(m moment, at time.Time) int { return m.at.Compare(at) })
	return i
}

// crashOf returns the crash that ended a connection of this instance. An engine to
// which it was made after the last crash has started again since.
func (t *Tracker) crashOf(e *hbs.Endpoint, connected time.Time) crashID {
	id := crashID{endpoint: e.ID, incarnation: e.Incarnation}
	for _, m := range slices.Backward(t.moments) {
		if m.id.endpoint != id.endpoint || m.id.incarnation != id.incarnation {
			continue
		}
		id = m.id
		if connected.After(m.at) {
			id.again++
		}
		return id
	}
	return id
}

// broke counts an own attempt that a crash ended, and brokenBy returns their number.
func (t *Tracker) broke(id crashID) {
	if i := slices.IndexFunc(t.moments, func(m moment) bool { return m.id == id }); i >= 0 {
		t.moments[i].broken++
	}
}

func (t *Tracker) brokenBy(id crashID) int {
	if i := slices.IndexFunc(t.moments, func(m moment) bool { return m.id == id }); i >= 0 {
		return t.moments[i].broken
	}
	return 0
}

// addMoment records the time of a crash, unless it is known. It returns the recorded
// time.
func (t *Tracker) addMoment(id crashID, at, now time.Time) time.Time {
	old := 0
	for old < len(t.moments) && (now.Sub(t.moments[old].at) > evidenceTTL || len(t.moments)-old >= maxMoments) {
		old++
	}
	t.moments = slices.Delete(t.moments, 0, old)
	if i := slices.IndexFunc(t.moments, func(m moment) bool { return m.id == id }); i >= 0 {
		return t.moments[i].at
	}
	t.moments = slices.Insert(t.moments, t.firstMoment(at), moment{at: at, id: id})
	return at
}
