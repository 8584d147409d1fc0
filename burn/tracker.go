package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// maxTracked bounds the pairs of objective, workspace and model.
	maxTracked = 4096
	// histogramMax is the longest latency kept, in microseconds (10 minutes).
	histogramMax = 600_000_000
	// histogramDigits is the number of significant decimal digits.
	histogramDigits = 2
	// otherWorkspace counts the requests beyond maxTracked.
	otherWorkspace = "(other)"
)

// Tracker counts the requests of one instance. Its methods are safe for
// concurrent use.
type Tracker struct {
	// Instance names this instance in reports.
	Instance hbs.InstanceID
	// Objectives returns those in force. It does not block.
	Objectives func() []Objective

	mu sync.Mutex
	// tracked has at most maxTracked entries plus one per objective and model
	// for the rest.
	tracked map[trackedKey][]*series
	// latencies has one entry for each model and kind of latency.
	latencies map[latencyKey]*latency
}

type trackedKey struct {
	objective Objective
	workspace hbs.WorkspaceID
	model     hbs.ModelName
}

type latencyKey struct {
	kind  ObjectiveKind
	model hbs.ModelName
}

// latency keeps the distribution of the current hour and of the one before.
type latency struct {
	hour            int64
	current, before *hdrhistogram.Histogram
}

// Observe counts s.
func (t *Tracker) Observe(s Sample) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.Objectives() {
		if !o.Selects(s.Workspace, s.Model) {
			continue
		}
		t.count(now, &o, &s)
	}
	t.record(now, latencyKey{FirstToken, s.Model}, s.FirstToken)
	t.record(now, latencyKey{InterToken, s.Model}, s.InterToken)
}

func (t *Tracker) count(now time.Time, o *Objective, s *Sample) {
	counts, good := o.judge(s)
	if !counts {
		return
	}
	for _, one := range t.seriesOf(trackedKey{*o, s.Workspace, s.Model}) {
		one.add(now, good)
	}
}

func (t *Tracker) seriesOf(key trackedKey) []*series {
	if all, ok := t.tracked[key]; ok {
		return all
	}
	if len(t.tracked) >= maxTracked && key.workspace != otherWorkspace {
		key.workspace = otherWorkspace
		return t.seriesOf(key)
	}
	if t.tracked == nil {
		t.tracked = map[trackedKey][]*series{}
	}
	all := make([]*series, len(Windows))
	for i, w := range Windows {
		all[i] = newSeries(w)
	}
	t.tracked[key] = all
	return all
}

func (t *Tracker) record(now time.Time, key latencyKey, d time.Duration) {
	if d <= 0 {
		return
	}
	if t.latencies == nil {
		t.latencies = map[latencyKey]*latency{}
	}
	l, ok := t.latencies[key]
	if !ok {
		l = &latency{current: newHistogram(), before: newHistogram()}
		t.latencies[key] = l
	}
	l.rotate(now)
	// A value beyond the range is counted at its end.
	_ = l.current.RecordValue(min(d.Microseconds(), histogramMax))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func (l *latency) rotate(now time.Time) {
	hour := now.Unix() / int64(time.Hour/time.Second)
	if hour == l.hour {
		return
	}
	l.before, l.current = l.current, l.before
	l.current.Reset()
	if hour > l.hour+1 {
		l.before.Reset()
	}
	l.hour = hour
}

// Report returns the burn at this moment.
func (t *Tracker) Report() *Report {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{At: now, Instances: []hbs.InstanceID{t.Instance}}
	for key, all := range t.tracked {
		r.Rows = append(r.Rows, row(now, key, all))
	}
	for key, l := range t.latencies {
		l.rotate(now)
		merged := newHistogram()
		merged.Merge(l.before)
		merged.Merge(l.current)
		r.Latencies = append(r.Latencies, Latency{Kind: key.kind, Model: key.model, Histogram: Histogram{merged}})
	}
	r.sort()
	return r
}

func row(now time.Time, key trackedKey, all []*series) Row {
	r := Row{Objective: key.objective, Workspace: key.workspace, Model: key.model}
	for _, s := range all {
		r.Counts = append(r.Counts, s.sum(now))
	}
	return r
}

func (r *Report) sort() {
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Objective.Kind, b.Objective.Kind),
			cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Workspace, b.Workspace),
			cmp.Compare(a.Objective.Target, b.Objective.Target),
			cmp.Compare(a.Objective.Threshold, b.Objective.Threshold),
		)
	})
	slices.SortFunc(r.Latencies, func(a, b Latency) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Model, b.Model))
	})
}
