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
	// maxTracked is the number of combinations of objective, workspace and model
	// that are counted separately.
	maxTracked = 4096
	// histogramMax is the longest latency that histograms can record, in
	// microseconds (10 minutes).
	histogramMax = 600_000_000
	// histogramDigits is the precision of histograms in significant decimal digits.
	histogramDigits = 2
	// otherWorkspace stands for the workspaces that exceed maxTracked.
	otherWorkspace = "(other)"
)

// Tracker counts the requests of one instance. Its methods are safe for
// concurrent use.
type Tracker struct {
	// Instance identifies this instance in reports.
	Instance hbs.InstanceID
	// Objectives returns the current objectives. It must not block.
	Objectives func() []Objective

	mu sync.Mutex
	// started is the time of the first use.
	started time.Time
	// tracked maps each combination to its series, one for each of Windows. It has
	// at most maxTracked entries plus one for otherWorkspace per objective and model.
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

// latency holds the distributions of one latency in the current and the previous
// hour.
type latency struct {
	// hour is the number of the current hour since the Unix epoch, by Tracker.now.
	hour              int64
	current, previous *hdrhistogram.Histogram
}

// Observe counts s towards the objectives that apply to it.
func (t *Tracker) Observe(s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, o := range t.Objectives() {
		if !o.Selects(s.Workspace, s.Model) {
			continue
		}
		t.countSample(now, &o, &s)
	}
	t.recordLatency(now, latencyKey{FirstToken, s.Model}, s.FirstToken)
	t.recordLatency(now, latencyKey{InterToken, s.Model}, s.InterToken)
}

func (t *Tracker) countSample(now time.Time, o *Objective, s *Sample) {
	counts, good := o.classify(s)
	if !counts {
		return
	}
	for _, sr := range t.seriesOf(trackedKey{*o, s.Workspace, s.Model}) {
		sr.add(now, good)
	}
}

// seriesOf returns the series of key, or of otherWorkspace if there are too many.
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

func (t *Tracker) recordLatency(now time.Time, key latencyKey, d time.Duration) {
	if d <= 0 {
		return
	}
	if t.latencies == nil {
		t.latencies = map[latencyKey]*latency{}
	}
	l, ok := t.latencies[key]
	if !ok {
		l = &latency{current: newHistogram(), previous: newHistogram()}
		t.latencies[key] = l
	}
	l.rotate(now)
	// Longer latencies are recorded as histogramMax.
	_ = l.current.RecordValue(min(d.Microseconds(), histogramMax))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// rotate starts a new histogram if the hour of now is not the current one.
func (l *latency) rotate(now time.Time) {
	hour := now.Unix() / int64(time.Hour/time.Second)
	if hour == l.hour {
		return
	}
	l.previous, l.current = l.current, l.previous
	l.current.Reset()
	if hour > l.hour+1 {
		l.previous.Reset()
	}
	l.hour = hour
}

// now returns the time of the first use plus the time since by the monotonic clock: a
// step of the wall clock must not drop what was counted. The caller holds mu.
func (t *Tracker) now() time.Time {
	if t.started.IsZero() {
		t.started = time.Now()
	}
	return t.started.Add(time.Since(t.started))
}

// Report returns the current burn rates and latencies.
func (t *Tracker) Report() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	r := &Report{At: time.Now(), Instances: []hbs.InstanceID{t.Instance}}
	for key, all := range t.tracked {
		r.Rows = append(r.Rows, newRow(now, key, all))
	}
	for key, l := range t.latencies {
		l.rotate(now)
		merged := newHistogram()
		merged.Merge(l.previous)
		merged.Merge(l.current)
		r.Latencies = append(r.Latencies, Latency{Kind: key.kind, Model: key.model, Histogram: Histogram{merged}})
	}
	r.sort()
	return r
}

func newRow(now time.Time, key trackedKey, all []*series) Row {
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
