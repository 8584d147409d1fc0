package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// maker makes one trace. All its choices come from rng.
type maker struct {
	Workload
	rng *rand.Rand
	// open are the conversations that may go on, by flow.
	open map[string][]conversation
	made int
}

// conversation is a prompt that later requests extend.
type conversation struct {
	workspace Workspace
	segments  []Segment
	since     float64
}

// pauseSeconds is the least time between two requests of a conversation.
const pauseSeconds = 2.0

// Make makes the trace of a workload. The same seed gives the same trace.
func Make(w Workload, seed uint64) *Trace {
	m := &maker{Workload: w, rng: rand.New(rand.NewPCG(seed, 3)), open: map[string][]conversation{}}
	t := &Trace{Header: Header{
		Version:       Version,
		Name:          w.Name,
		Seed:          seed,
		Seconds:       w.Seconds,
		WarmupSeconds: w.WarmupSeconds,
		Crests:        m.crests(),
		Workspaces:    w.Workspaces,
		Fleet:         w.Fleet,
	}}
	for _, f := range w.Flows {
		t.Requests = append(t.Requests, m.flow(f)...)
	}
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range t.Requests {
		t.Requests[i].ID = fmt.Sprintf("r%d", i+1)
		if t.Requests[i].Key != "" {
			t.Requests[i].Key = fmt.Sprintf("k%d", i+1)
		}
	}
	return t
}

func (m *maker) crests() (crests []Crest) {
	for at := m.Swing.EverySeconds; at+m.Swing.CrestSeconds <= m.Seconds; at += m.Swing.EverySeconds {
		crests = append(crests, Crest{at, at + m.Swing.CrestSeconds})
	}
	return crests
}

// factor is the demand at a time relative to its mean.
func (m *maker) factor(at float64) float64 {
	phase := math.Mod(at, m.Swing.EverySeconds)
	switch {
	case at < m.Swing.EverySeconds:
		return 1
	case phase < m.Swing.CrestSeconds:
		return m.Swing.Crest
	case phase < 2*m.Swing.CrestSeconds:
		return m.Swing.Trough
	}
	return 1
}

// flow draws the arrivals of one flow by thinning a Poisson process.
func (m *maker) flow(f Flow) (requests []Request) {
	most := max(m.Swing.Crest, m.Swing.Trough, 1)
	for at := m.rng.ExpFloat64() / (f.Rate * most); at < m.Seconds; at += m.rng.ExpFloat64() / (f.Rate * most) {
		if m.rng.Float64() < m.factor(at)/most {
			requests = append(requests, m.request(f, at))
		}
	}
	return requests
}

func (m *maker) request(f Flow, at float64) Request {
	q := Request{
		At:              math.Round(at*1e4) / 1e4,
		Class:           f.Class,
		Work:            f.Work,
		Priority:        f.Priority,
		DeadlineSeconds: f.DeadlineSeconds,
	}
	if f.Service != "" {
		m.call(f, &q)
		return q
	}
	m.prompt(f, &q)
	return q
}

func (m *maker) call(f Flow, q *Request) {
	q.Workspace = m.workspace().ID
	q.Service, q.Method, q.Path, q.WorkSeconds = f.Service, f.Method, f.Path, f.WorkSeconds
	if m.rng.Float64() >= f.KeyShare {
		return
	}
	q.Key = "k"
	if m.rng.Float64() < f.AgainShare {
		q.AgainSeconds = 0.01 + m.rng.Float64()*0.6
	}
}

func (m *maker) prompt(f Flow, q *Request) {
	c := m.conversation(f, q.At)
	q.Workspace, q.Segments, q.Model = c.workspace.ID, c.segments, f.Model
	q.Output = f.OutputMin + m.rng.IntN(f.OutputMax-f.OutputMin+1)
	q.Whole = m.rng.Float64() < f.WholeShare
	if m.rng.Float64() < f.LeaveShare {
		q.LeaveSeconds = 0.05 + m.rng.Float64()*0.6
	}
}

// conversation continues an open one or starts a new one.
func (m *maker) conversation(f Flow, at float64) conversation {
	open := m.open[f.Name]
	again := f.Turns > 1 && m.rng.Float64() < 1-1/f.Turns
	if again && len(open) > 0 && at-open[0].since >= pauseSeconds {
		c := open[0]
		m.open[f.Name] = open[1:]
		c.segments = append(slices.Clone(c.segments), m.fresh("turn", f.TurnTokens))
		c.since = at
		if m.rng.Float64() >= 1/(f.Turns-1) {
			m.open[f.Name] = append(m.open[f.Name], c)
		}
		return c
	}
	c := m.begin(f, at)
	if f.Turns > 1 {
		m.open[f.Name] = append(m.open[f.Name], c)
	}
	return c
}

func (m *maker) begin(f Flow, at float64) conversation {
	c := conversation{workspace: m.workspace(), since: at}
	path := ""
	for _, l := range f.Levels {
		if l.Count == 0 {
			c.segments = append(c.segments, m.fresh(l.Name, l.Tokens))
			continue
		}
		path += fmt.Sprintf("/%s%d", l.Name, m.pick(l, at))
		c.segments = append(c.segments, Segment{path[1:], l.Tokens})
	}
	if f.Turns > 1 || f.TurnTokens > 0 {
		c.segments = append(c.segments, m.fresh("turn", f.TurnTokens))
	}
	return c
}

// pick chooses a segment of a level; the hot one moves at the shift.
func (m *maker) pick(l PromptLevel, at float64) int {
	hot := 0
	if m.ShiftSeconds > 0 && at >= m.ShiftSeconds {
		hot = l.Count / 2
	}
	if m.rng.Float64() < l.Hot {
		return hot
	}
	return m.rng.IntN(l.Count)
}

func (m *maker) fresh(name string, tokens int) Segment {
	m.made++
	return Segment{fmt.Sprintf("%s-%d", name, m.made), tokens}
}

func (m *maker) workspace() Workspace {
	x := m.rng.Float64()
	for _, w := range m.Workspaces {
		if x -= w.Share; x < 0 {
			return w
		}
	}
	return m.Workspaces[len(m.Workspaces)-1]
}
