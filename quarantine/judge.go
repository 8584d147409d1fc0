package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// enough returns the number of crashes that make a part suspect.
func (t *Tracker) enough(model hbs.ModelName) int {
	return int(t.Policy.Number(KnobCrashes, hbs.Scope{Model: model}))
}

// due reports whether the crashes that count against a part make it suspect (rules 4 and
// 12).
func (t *Tracker) due(k partKey, p *part) bool {
	enough := t.enough(k.model)
	switch {
	case len(p.crashes) < enough:
		return false
	case k.whole():
		return p.crashSpan() >= trialPause
	}
	return t.distinctCrashes(p) >= enough
}

// suspect makes a part suspect, or no longer, by its crashes.
func (t *Tracker) suspect(k partKey, p *part, now time.Time) {
	if !p.until.IsZero() || !t.due(k, p) {
		p.suspectSince = time.Time{}
		if !k.whole() {
			p.trial = ""
		}
		delete(t.suspects, k)
		return
	}
	if t.suspects == nil {
		t.suspects = map[partKey]*part{}
	}
	t.suspects[k] = p
	if p.suspectSince.IsZero() {
		p.suspectSince = now
	}
}

// answered applies rule 3 for an answer given at a time. It reports whether others
// have to know of it.
func (t *Tracker) answered(k partKey, p *part, at time.Time, why string) (news bool) {
	if !p.until.IsZero() && !at.After(p.from) {
		return false
	}
	news = p.told && (!p.until.IsZero() || len(p.crashes) > 0) || at.Before(p.disputed)
	p.disputed = time.Time{}
	if !p.until.IsZero() {
		t.release(k, p, at, why)
	}
	p.forget(at)
	if len(p.crashes) == 0 {
		p.told = false
	}
	t.suspect(k, p, at)
	return news
}

// quarantined reports whether a part is quarantined, and ends a quarantine whose time
// has passed (rule 8).
func (t *Tracker) quarantined(k partKey, p *part, now time.Time) bool {
	if p.until.IsZero() {
		return false
	}
	if now.Before(p.until) {
		return true
	}
	t.release(k, p, now, "its time passed")
	return false
}

// release ends a quarantine. Crashes count anew.
func (t *Tracker) release(k partKey, p *part, now time.Time, why string) {
	t.count(meterReleased)
	message := "part released"
	if k.whole() {
		message = "request released"
	}
	t.log().Info(message, zap.String("model", string(k.model)), k.field(),
		zap.Duration("quarantined_for", now.Sub(p.from)), zap.String("why", why))
	p.until, p.own = time.Time{}, false
	p.forget(now)
}

// judge quarantines the suspects that are due for it, that with the most crashes first
// (rule 5). It reports whether there was one.
func (t *Tracker) judge(now time.Time) (news bool) {
	for len(t.suspects) > 0 {
		k, p := t.mostBlamed(now)
		if p == nil {
			return news
		}
		p.own, news = true, true
		t.quarantine(k, p, now, t.duration(k, p), "")
	}
	return news
}

// duration returns how long a quarantine of a part that begins now lasts (rule 8).
func (t *Tracker) duration(k partKey, p *part) time.Duration {
	d := t.Policy.Duration(KnobDuration, hbs.Scope{Model: k.model})
	for range p.offences {
		d = min(2*d, maxDuration)
	}
	return min(d, maxDuration)
}

// settle judges suspects. It reports whether there is something to tell.
func (t *Tracker) settle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judge(time.Now())
}

// mostBlamed returns the part to be quarantined first, nil if there is none.
func (t *Tracker) mostBlamed(now time.Time) (most partKey, blamed *part) {
	for k, p := range t.suspects {
		p.expire(now)
		switch {
		case !t.due(k, p):
			t.suspect(k, p, now)
		case now.Sub(p.suspectSince) < settleTime, now.Sub(p.lastCrash) < settleTime:
		case !k.whole() && (t.byChance(k, p) || t.oneRequest(k, p)), t.allExplained(k, p), t.outweighed(k, p):
		case blamed == nil || p.compare(blamed) > 0 || p.compare(blamed) == 0 && k.String() < most.String():
			most, blamed = k, p
		}
	}
	return most, blamed
}

// byChance reports whether a part may have met its crashes by chance, or too little is
// known to tell (rule 4).
func (t *Tracker) byChance(k partKey, p *part) bool {
	n := t.distinctCrashes(p)
	answered, share := t.others(k, p)
	return answered < n || math.Pow(1-share, float64(n)) > maxChance
}

// compare returns a positive number if p is to be quarantined before q.
func (p *part) compare(q *part) int {
	return cmp.Or(cmp.Compare(len(p.crashes), len(q.crashes)), cmp.Compare(p.depth, q.depth))
}

// allExplained reports whether what is quarantined for the model explains all crashes of
// a part.
func (t *Tracker) allExplained(k partKey, p *part) bool {
	for id := range p.crashes {
		if !t.explained(id, k.sameModel) {
			return false
		}
	}
	return true
}

// outweighed reports whether another part, which is not quarantined, was at all of a
// part's crashes and at more.
func (t *Tracker) outweighed(k partKey, p *part) bool {
	for other, q := range t.parts {
		if other.sameKind(k) && q.until.IsZero() && len(q.crashes) > len(p.crashes) && covers(q, p) {
			return true
		}
	}
	return false
}

// oneRequest reports whether one repeated request was at all of a part's crashes.
func (t *Tracker) oneRequest(k partKey, p *part) bool {
	for other, q := range t.parts {
		if other.whole() && other.sameModel(k) && q.until.IsZero() && covers(q, p) {
			return true
		}
	}
	return false
}

// covers reports whether q was at all crashes of p.
func covers(q, p *part) bool {
	for id := range p.crashes {
		if _, ok := q.crashes[id]; !ok {
			return false
		}
	}
	return true
}

// quarantine begins a quarantine, which another instance told of if from is not
// empty.
func (t *Tracker) quarantine(k partKey, p *part, now time.Time, d time.Duration, from string) {
	engines := make([]string, 0, len(p.crashes))
	for id := range p.crashes {
		engines = append(engines, string(id.endpoint))
	}
	slices.Sort(engines)
	p.offences++
	answered, share := t.others(k, p)
	message, meter := "part quarantined", meterQuarantined
	if k.whole() {
		message, meter = "request quarantined", meterWhole
	}
	t.count(meter)
	t.log().Warn(message, zap.String("model", string(k.model)), k.field(),
		zap.Int("crashes", len(engines)), zap.Int("distinct", t.distinctCrashes(p)), zap.Int("others_answered", answered), zap.Float64("share_answered", share),
		zap.Strings("engines", engines), zap.Duration("first_crash", now.Sub(p.firstCrash(now))),
		zap.Duration("for", d), zap.Int("offence", p.offences), zap.String("told_by", from))
	p.from, p.until, p.told = now, now.Add(d), true
	t.blamed = append(slices.DeleteFunc(t.blamed, func(b partKey) bool {
		q := t.parts[b]
		return b == k || q == nil || q.until.IsZero()
	}), k)
	t.suspect(k, p, now)
	t.explainAway(k, p, now)
}

// explained reports whether something quarantined, of those that count, explains a crash.
func (t *Tracker) explained(id crashID, counts func(partKey) bool) bool {
	for _, k := range t.blamed {
		if p := t.parts[k]; counts(k) && p != nil && !p.until.IsZero() {
			if _, ok := p.crashes[id]; ok {
				return true
			}
		}
	}
	return false
}

// explainAway drops the crashes that a quarantined part explains from the parts that
// were at only some of them (rule 5).
func (t *Tracker) explainAway(by partKey, explained *part, now time.Time) {
	for k, p := range t.parts {
		if !k.sameKind(by) || p == explained || !p.until.IsZero() {
			continue
		}
		var shared []crashID
		for id := range p.crashes {
			if _, ok := explained.crashes[id]; ok {
				shared = append(shared, id)
			}
		}
		if len(shared) == 0 || len(shared) == len(explained.crashes) {
			continue
		}
		for _, id := range shared {
			delete(p.crashes, id)
		}
		t.suspect(k, p, now)
	}
}
