package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Kind is the object kind of reports. Each instance has one report, under its name.
const Kind hbs.ObjectKind = "crashes"

const (
	// maxReportBytes bounds a report that is decoded, maxEntries each of its lists and
	// maxName each name in it, in bytes.
	maxReportBytes = 256 << 10
	maxEntries     = 512
	maxName        = 256
	// crashTTL and answerTTL are how long a crash and an answer are told: long enough
	// for every instance to read them. What follows from crashes is told as long as it
	// holds.
	crashTTL  = 30 * time.Second
	answerTTL = 10 * time.Second
	// maxTellTime bounds the time by which a told quarantine seems later than it was.
	maxTellTime = time.Second
	// reportTTL is the time without a change after which a report tells nothing more,
	// unless it has a quarantine.
	reportTTL = 2 * evidenceTTL
)

// reportState is what is known of a report.
type reportState struct {
	revision hbs.Revision
	// changed is when the revision was first read. until is the end of the longest
	// quarantine in it; zero without one.
	changed, until time.Time
	// partial is set if all but the quarantines of the revision was left out.
	partial bool
}

// report is the JSON form of what an instance tells (rule 9). Lists are decoded entry
// by entry (rule 10).
type report struct {
	Crashes     []json.RawMessage `json:"crashes,omitempty"`
	Quarantines []json.RawMessage `json:"quarantines,omitempty"`
	Answers     []json.RawMessage `json:"answers,omitempty"`
}

// entry is an entry of any of the lists. Crashes have an endpoint, quarantines an end.
type entry struct {
	Model hbs.ModelName `json:"model"`
	// Part and Request tell what the entry is about; one of them is set.
	Part        hbs.PartID      `json:"part,omitempty"`
	Request     hbs.Fingerprint `json:"request,omitempty"`
	Endpoint    hbs.EndpointID  `json:"endpoint,omitempty"`
	Incarnation hbs.Incarnation `json:"incarnation,omitempty"`
	// Depth is the place of the part in the prompt, from 0.
	Depth int `json:"depth,omitempty"`
	// Again counts the earlier crashes of the same incarnation.
	Again int `json:"again,omitempty"`
	// AgeMS is how long ago it was when the report was written, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// UntilMS is the end of a quarantine in Unix milliseconds.
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Validate returns an error if the entry can't be used.
func (e *entry) Validate() error {
	switch {
	case (e.Part == "") == (e.Request == ""):
		return errors.New("entry is not about one part or one request")
	case len(e.Part) > maxName || len(e.Request) > maxName || len(e.Model) > maxName:
		return errors.New("name of a part, request or model is too long")
	case len(e.Endpoint) > maxName || len(e.Incarnation) > maxName:
		return errors.New("name of an endpoint is too long")
	case e.AgeMS < 0 || e.AgeMS > maxDuration.Milliseconds():
		return errors.Newf("age is %d ms", e.AgeMS)
	}
	return nil
}

func (e *entry) key() partKey { return partKey{e.Model, e.Part, e.Request} }

// at returns the time of what the entry tells, if it was written at now.
func (e *entry) at(now time.Time) time.Time {
	return now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
}

// Report returns what this instance has to tell, and whether that is nothing. What it
// returns counts as told.
func (t *Tracker) Report() (value json.RawMessage, empty bool, err error) {
	defer func() { err = errors.Wrap(err, "report of crashes") }()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.judge(now)
	var crashes, quarantines, answers []entry
	for k, p := range t.parts {
		e := entry{Model: k.model, Part: k.id, Request: k.request}
		for id, c := range p.crashes {
			if c.own && now.Sub(c.at) <= crashTTL {
				e.Endpoint, e.Incarnation, e.Again, e.Depth, e.AgeMS = id.endpoint, id.incarnation, id.again, p.depth, now.Sub(c.at).Milliseconds()
				crashes = append(crashes, e)
				p.told = true
			}
		}
		e = entry{Model: k.model, Part: k.id, Request: k.request}
		if p.own && now.Before(p.until) {
			e.AgeMS, e.UntilMS = now.Sub(p.from).Milliseconds(), p.until.UnixMilli()
			quarantines = append(quarantines, e)
		}
		if now.Sub(p.answeredAt) <= answerTTL {
			e.AgeMS, e.UntilMS = now.Sub(p.answeredAt).Milliseconds(), 0
			answers = append(answers, e)
		}
		if p.idle(now) {
			delete(t.parts, k)
			delete(t.suspects, k)
		}
	}
	value, err = encodeReport(crashes, quarantines, answers)
	return value, len(crashes)+len(quarantines)+len(answers) == 0, err
}

func encodeReport(crashes, quarantines, answers []entry) (value json.RawMessage, err error) {
	var r report
	if r.Crashes, err = encodeEntries(crashes); err != nil {
		return nil, err
	}
	if r.Quarantines, err = encodeEntries(quarantines); err != nil {
		return nil, err
	}
	if r.Answers, err = encodeEntries(answers); err != nil {
		return nil, err
	}
	return json.Marshal(&r)
}

// encodeEntries encodes the newest entries.
func encodeEntries(es []entry) ([]json.RawMessage, error) {
	slices.SortFunc(es, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	var list []json.RawMessage
	for _, e := range es[:min(len(es), maxEntries)] {
		data, err := json.Marshal(e)
		if err != nil {
			return nil, err
		}
		list = append(list, data)
	}
	return list, nil
}

// Merge applies the report in an object of Kind (rules 9 and 10). fresh means that it
// was written just now. The first one under this instance's own name is that of its
// earlier incarnation.
func (t *Tracker) Merge(obj *hbs.Object, fresh bool) {
	if t.merge(obj, fresh) {
		t.changed()
	}
}

// merge is Merge. It reports whether there is something to tell.
func (t *Tracker) merge(obj *hbs.Object, fresh bool) (news bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	seen, known := t.reports[obj.Name]
	if known && (obj.Revision < seen.revision || obj.Revision == seen.revision && !(fresh && seen.partial)) {
		return false
	}
	own := obj.Name == string(t.Self)
	if t.reports == nil {
		t.reports = map[string]reportState{}
	}
	t.reports[obj.Name] = reportState{obj.Revision, now, time.Time{}, !fresh && !known}
	if own && known {
		return false
	}
	var r report
	if len(obj.Value) > maxReportBytes {
		t.ignore(obj, errors.Newf("report has %d bytes", len(obj.Value)))
		return false
	}
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		t.ignore(obj, err)
		return false
	}
	m := merger{t: t, obj: obj, now: now, own: own}
	// In a report that was written some time ago ages are no longer true: an answer
	// could seem to be later than a crash, or a crash than an answer.
	if fresh || known {
		m.each(r.Crashes, m.crash)
	}
	m.each(r.Quarantines, m.quarantine)
	if fresh || known {
		m.each(r.Answers, m.answer)
	}
	return t.judge(now) || m.news
}

// Removed records that a report was removed.
func (t *Tracker) Removed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reports, name)
}

// expired returns the reports that tell nothing more.
func (t *Tracker) expired() (objs []hbs.Object) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for name, r := range t.reports {
		if now.Sub(r.changed) > reportTTL && now.After(r.until) {
			objs = append(objs, hbs.Object{Kind: Kind, Name: name, Revision: r.revision})
		}
	}
	return objs
}

// ignore counts and logs a report or an entry that can't be used.
func (t *Tracker) ignore(obj *hbs.Object, err error) {
	t.count(meterOdd)
	t.log().Debug("entry of a report ignored", zap.String("name", obj.Name), zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
}

// merger applies one report. Its tracker is locked.
type merger struct {
	t   *Tracker
	obj *hbs.Object
	now time.Time
	// own is set for the report of this instance's earlier incarnation.
	own bool
	// news is set once there is something to tell: an answer, or that an entry of this
	// instance no longer holds.
	news bool
}

func (m *merger) each(list []json.RawMessage, apply func(*entry)) {
	for _, data := range list[:min(len(list), maxEntries)] {
		var e entry
		err := json.Unmarshal(data, &e)
		if err == nil {
			err = e.Validate()
		}
		if err != nil {
			m.t.ignore(m.obj, err)
			continue
		}
		apply(&e)
	}
}

func (m *merger) crash(e *entry) {
	if e.Endpoint == "" {
		m.t.ignore(m.obj, errors.New("crash names no endpoint"))
		return
	}
	id := crashID{e.Endpoint, e.Incarnation, e.Again}
	// Told crashes seem later than they were, by the time that telling takes.
	known := m.t.addMoment(id, e.at(m.now), m.now)
	m.t.addCrash(e.key(), id, crash{earlier(e.at(m.now), known), known, m.own, e.Depth}, m.now)
}

func (m *merger) quarantine(e *entry) {
	d := min(time.UnixMilli(e.UntilMS).Sub(m.now), maxDuration)
	s := m.t.reports[m.obj.Name]
	if until := m.now.Add(d); d > 0 && until.After(s.until) {
		s.until = until
		m.t.reports[m.obj.Name] = s
	}
	if d <= 0 {
		return
	}
	p := m.t.part(e.key(), m.now)
	if p == nil || !p.until.IsZero() || !e.at(m.now).After(p.since) {
		return
	}
	if !p.lastAnswer.IsZero() && !e.at(m.now).Add(-maxTellTime).After(p.lastAnswer) {
		p.answeredAt, p.disputed, m.news = p.lastAnswer, m.now.Add(d), true
		return
	}
	p.own = m.own
	m.t.quarantine(e.key(), p, m.now, min(d, m.t.duration(e.key(), p)), m.obj.Name)
}

func (m *merger) answer(e *entry) {
	p := m.t.parts[e.key()]
	if p == nil {
		return
	}
	before := p.ownEntries()
	m.t.answered(e.key(), p, e.at(m.now), "answered at "+m.obj.Name)
	m.news = m.news || p.ownEntries() < before
}
