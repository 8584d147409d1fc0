// Package quarantine finds the parts of prompts and the requests that crash engines, from
// what attempts at engines met with, and keeps them from engines.
//
// A part is identified by the model and the part's ID, whatever the workspace, and a
// repeated request by its fingerprint. Endpoints of plain services are engines
// here too. The package knows nothing of networks: it is told of crashes and of answers.
//
// Rules:
//
//  1. A crash counts against the parts of a request if the engine crashed before the
//     attempt had written two events to the caller. Whoever reports it has made sure
//     that the engine itself ended: a broken connection alone is no crash.
//  2. Crashes are told apart by the engine's incarnation, and by connections that were
//     made to it after a crash, since its record may be old. Crashes of several engines
//     within sameMoment have a common cause. They count once against a part, and only
//     if it was at a third of these engines or more: a loss of power is no fault of
//     what happened to run at one of them. Of what several instances tell of a crash
//     the first known time holds.
//  3. An answer to a request proves its parts sound. All crashes before it no longer
//     count against them.
//  4. A part against which quarantine.crashes crashes count is suspect. A suspect is
//     blamed if the chance of its crashes would be maxChance at most, were it as likely
//     to meet one as the other requests for the model were meanwhile, and there were
//     at least as many answers as crashes. Requests that ended in the part's own
//     crashes tell nothing, as a part that crashes engines takes others with it. So
//     while engines crash under everybody, no part is blamed.
//  5. A suspect is quarantined settleTime after it became one and after its last
//     crash, when what other instances saw is known too. Of several that are to blame
//     the one with the most crashes is first; one waits while another part was at all
//     of its crashes and at more. Of parts with the same crashes only the last in the
//     prompt is quarantined: the others stay suspect until an answer or a crash
//     without it. Crashes that a quarantined part explains no longer count
//     against the parts that were at only some of its crashes: engines work on
//     several requests, and placement sends similar ones to the same engines.
//  6. Requests with a suspect part are tried one at a time, and not within trialPause
//     of its last crash. Otherwise engines that come back crash at once under what
//     has waited for them, and nobody gets an answer that would tell sound parts from
//     the others. A request under which an engine crashed is not sent again if each
//     of its parts has a further crash.
//  7. A crash no longer counts after evidenceTTL.
//  8. A quarantine lasts quarantine.duration, twice as long with each further one of
//     the part up to maxDuration, or until an answer proves the part sound. After it
//     crashes count anew.
//  9. Instances tell each other crashes, quarantines and answers (Report, Merge). A
//     told crash counts like an own one, unless it is from a report that was written
//     before this instance knew of it. A told quarantine is adopted, for no
//     longer than an own one would last, unless the part was answered here since or
//     shortly before. A told answer is one of rule 3, at the time at which it was given.
//  10. Everything told is bounded, in bytes, entries and time, and an entry that can't
//     be used is ignored alone. Times are told as ages, since clocks differ; only the
//     end of a quarantine is a time of day, and it is bounded by maxDuration.
//  11. A repeated request counts as a part of itself behind the last one, by its
//     fingerprint: rules 1, 3, 5 and 7 to 10 hold for it. Parts and requests explain
//     crashes only among their own kind, but what is quarantined of either kind may
//     explain all crashes of the other. A request with heldCrashes crashes is held: an
//     instance sends it only as a trial, not within trialPause of its last trial here
//     nor of the last crash. After that the instances take turns of turnTime each, for
//     turnRounds rounds. Otherwise all of them would send it at once when its engines
//     are back. One under which an engine crashed is sent again at once if that was the
//     first crash.
//  12. A held request with quarantine.crashes crashes is suspect if the last was
//     trialPause or more after the first: then one was a trial. So a loss of power and
//     what happened to run beside it make no request suspect, however many engines
//     crashed and at whichever times others told of it. It is blamed without answers of
//     others, since there are none while it keeps the engines of a small service
//     down, and since a false verdict only costs a caller this request. A part waits
//     while one request was at all of its crashes.
package quarantine

import (
	"cmp"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// sameMoment is the time within which crashes of several engines count once.
	sameMoment = 100 * time.Millisecond
	// minExplained is the share of the engines that crashed at the same moment under a
	// part which makes the crash count against it.
	minExplained = 1.0 / 3
	// maxChance is the greatest chance with which a blamed part's crashes may have
	// come about if engines crashed under it as often as under others.
	maxChance = 1e-4
	// priorCrashed is the number of other requests that count as crashed under before
	// one was (half of one: the Jeffreys prior).
	priorCrashed = 0.5
	// settleTime is the time in which an instance hears of what the others saw.
	settleTime = 500 * time.Millisecond
	// trialPause is the time from a crash to the next trial of a suspect part, in
	// which an instance hears of the crash and of answers elsewhere. trialTime bounds
	// how long a trial keeps others from being made.
	trialPause = 2 * time.Second
	trialTime  = 2 * time.Second
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 5 * time.Minute
	// maxDuration bounds a quarantine.
	maxDuration = 4 * time.Hour
	// maxRetryAfter bounds the time after which a caller may ask again: an answer
	// elsewhere may end a quarantine early.
	maxRetryAfter = time.Minute
	// maxParts bounds the parts that are tracked, of which evicted are removed at once,
	// and maxCrashes the crashes that count against one.
	maxParts   = 2048
	evicted    = 256
	maxCrashes = 32
	// maxMoments bounds the crashes of which the time is kept.
	maxMoments = 1024
)

// Tracker tracks parts. Its exported fields are set before use.
type Tracker struct {
	// Self is the name of this instance in reports; empty if it tells none.
	Self    hbs.InstanceID
	Policy  hbs.Policy
	Metrics metrics.Registry
	Log     *zap.Logger
	// Others returns the other instances of the fleet, and whether they are known; may be
	// nil.
	Others func() (ids []hbs.InstanceID, ok bool)
	// Changed, which may be nil, is called without locks when there is something new
	// to tell others.
	Changed func()

	mu    sync.Mutex
	parts map[partKey]*part
	// suspects are the suspect parts.
	suspects map[partKey]*part
	// blamed are the quarantined parts, and some that were.
	blamed []partKey
	// balances has the attempts for each model.
	balances map[hbs.ModelName]*history
	// moments has the crashes of the last evidenceTTL, in order.
	moments []moment
	// reports has what is known of each report that was merged, by name.
	reports map[string]reportState
}

// moment is the time of a crash, under whatever requests.
type moment struct {
	at time.Time
	id crashID
	// broken is the number of own attempts that the crash ended.
	broken int
}

var _ hbs.CrashWatch = (*Tracker)(nil)

// Check implements hornbeamstage.CrashWatch.
func (t *Tracker) Check(req *hbs.Request) *hbs.Refusal { return t.decide(req, t.check) }

// Begin implements hornbeamstage.CrashWatch.
func (t *Tracker) Begin(req *hbs.Request) *hbs.Refusal { return t.decide(req, t.begin) }

// decide judges suspects and then decides on a request.
func (t *Tracker) decide(req *hbs.Request, decision func(*hbs.Request, time.Time) *hbs.Refusal) *hbs.Refusal {
	now := time.Now()
	t.mu.Lock()
	if len(t.parts) == 0 {
		t.mu.Unlock()
		return nil
	}
	news := t.judge(now)
	r := decision(req, now)
	t.mu.Unlock()
	if news {
		t.changed()
	}
	return r
}

// check refuses a request that is quarantined or held, or has a quarantined part.
func (t *Tracker) check(req *hbs.Request, now time.Time) *hbs.Refusal {
	for k := range keys(req) {
		p := t.parts[k]
		if p == nil {
			continue
		}
		if t.quarantined(k, p, now) {
			t.count(meterRefused)
			return hbs.NotRun(k.reason(), k.String(), min(p.until.Sub(now), maxRetryAfter))
		}
		if !k.whole() {
			continue
		}
		if wait := t.held(k, p, req.ID, now); wait > 0 {
			t.count(meterTrialsRefused)
			return hbs.NotRun(k.reason(), k.String()+" is suspect", wait)
		}
	}
	return nil
}

// begin also refuses a request with a suspect part that may not be tried now, and
// makes any other one the trial of its suspect parts (rule 6) and of itself, if it was
// held (rule 11).
func (t *Tracker) begin(req *hbs.Request, now time.Time) *hbs.Refusal {
	if r := t.check(req, now); r != nil {
		return r
	}
	var tried []*part
	for k := range keys(req) {
		p := t.suspects[k]
		if k.whole() {
			p = t.parts[k]
		}
		switch {
		case p == nil, k.whole() && len(p.crashes) < heldCrashes:
			continue
		case !k.whole() && !p.mayTry(now):
			t.count(meterTrialsRefused)
			return hbs.NotRun(k.reason(), k.String()+" is suspect", trialPause)
		}
		tried = append(tried, p)
	}
	for _, p := range tried {
		p.trial, p.trialStart = req.ID, now
	}
	return nil
}

// End implements hornbeamstage.CrashWatch.
func (t *Tracker) End(req *hbs.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return
	}
	for _, id := range req.Parts {
		if p := t.suspects[partKey{model: req.Model, id: id}]; p != nil && p.trial == req.ID {
			p.trial = ""
		}
	}
}

// Crashed implements hornbeamstage.CrashWatch.
func (t *Tracker) Crashed(req *hbs.Request, e *hbs.Endpoint, connected time.Time) (again bool) {
	now := time.Now()
	names := make([]string, len(req.Parts))
	t.mu.Lock()
	id := t.crashOf(e, connected)
	t.add(req.Model, balance{crashed: 1}, now)
	known := t.addMoment(id, now, now)
	t.broke(id)
	depth := 0
	for k := range keys(req) {
		t.addCrash(k, id, crash{now, known, true, depth}, now)
		depth++
	}
	for i, name := range req.Parts {
		names[i] = string(name)
	}
	again = t.mayRepeat(req)
	t.judge(now)
	t.count(meterCrashes)
	t.mu.Unlock()
	t.log().Info("engine crashed under a request", zap.String("request", string(req.ID)), zap.String("endpoint", string(e.ID)),
		zap.String("incarnation", string(e.Incarnation)), zap.String("model", string(req.Model)), zap.Strings("parts", names), zap.String("fingerprint", string(req.Fingerprint)),
		zap.Bool("again", again))
	t.changed()
	return again
}

// mayRepeat reports whether a request has at most one crash, and one of its parts too if
// it has parts.
func (t *Tracker) mayRepeat(req *hbs.Request) bool {
	if p := t.parts[wholeKey(req)]; p != nil && len(p.crashes) > 1 {
		return false
	}
	for _, id := range req.Parts {
		if p := t.parts[partKey{model: req.Model, id: id}]; p == nil || len(p.crashes) <= 1 {
			return true
		}
	}
	return len(req.Parts) == 0
}

// Answered implements hornbeamstage.CrashWatch.
func (t *Tracker) Answered(req *hbs.Request) {
	now := time.Now()
	t.mu.Lock()
	t.add(req.Model, balance{answered: 1}, now)
	news := false
	if len(t.parts) > 0 {
		for k := range keys(req) {
			p := t.parts[k]
			if p == nil {
				continue
			}
			p.lastAnswer = now
			if t.answered(k, p, now, "answered") {
				p.answeredAt, news = now, true
			}
		}
		news = t.judge(now) || news
	}
	t.mu.Unlock()
	if news {
		t.changed()
	}
}

func (t *Tracker) changed() {
	if t.Changed != nil {
		t.Changed()
	}
}

func (t *Tracker) count(name string) {
	if t.Metrics != nil {
		metrics.GetOrRegisterCounter(name, t.Metrics).Inc(1)
	}
}

func (t *Tracker) log() *zap.Logger { return cmp.Or(t.Log, nop) }

var nop = zap.NewNop()
