package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// generator generates one trace. All its random choices come from rng.
type generator struct {
	Workload
	rng *rand.Rand
	// open holds the conversations that may continue, by name of the flow.
	open map[string][]conversation
	// segments counts the new segments, to number their ids.
	segments int
}

// conversation is a prompt that later requests of the flow extend. lastTurn is the
// arrival of its last request, in seconds from the start.
type conversation struct {
	workspace Workspace
	segments  []Segment
	lastTurn  float64
}

// minPauseSeconds is the minimum time between two requests of a conversation.
const minPauseSeconds = 2.0

// Make generates the trace of a workload. The same seed yields the same trace.
func Make(w Workload, seed uint64) *Trace {
	g := &generator{Workload: w, rng: rand.New(rand.NewPCG(seed, 3)), open: map[string][]conversation{}}
	t := &Trace{Header: Header{
		Version:       Version,
		Name:          w.Name,
		Seed:          seed,
		Seconds:       w.Seconds,
		WarmupSeconds: w.WarmupSeconds,
		Crests:        g.crests(),
		Workspaces:    w.Workspaces,
		Fleet:         w.Fleet,
	}}
	for _, f := range w.Flows {
		t.Requests = append(t.Requests, g.flowRequests(f)...)
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

func (g *generator) crests() (crests []Crest) {
	for at := g.Swing.EverySeconds; at+g.Swing.CrestSeconds <= g.Seconds; at += g.Swing.EverySeconds {
		crests = append(crests, Crest{at, at + g.Swing.CrestSeconds})
	}
	return crests
}

// demandFactor returns the demand at a time, relative to the mean.
func (g *generator) demandFactor(at float64) float64 {
	phase := math.Mod(at, g.Swing.EverySeconds)
	switch {
	case at < g.Swing.EverySeconds:
		return 1
	case phase < g.Swing.CrestSeconds:
		return g.Swing.Crest
	case phase < 2*g.Swing.CrestSeconds:
		return g.Swing.Trough
	}
	return 1
}

// flowRequests draws the requests of one flow by thinning a Poisson process.
func (g *generator) flowRequests(f Flow) (requests []Request) {
	maxFactor := max(g.Swing.Crest, g.Swing.Trough, 1)
	for at := g.rng.ExpFloat64() / (f.Rate * maxFactor); at < g.Seconds; at += g.rng.ExpFloat64() / (f.Rate * maxFactor) {
		if g.rng.Float64() < g.demandFactor(at)/maxFactor {
			requests = append(requests, g.request(f, at))
		}
	}
	return requests
}

func (g *generator) request(f Flow, at float64) Request {
	q := Request{
		At:              math.Round(at*1e4) / 1e4,
		Class:           f.Class,
		Work:            f.Work,
		Priority:        f.Priority,
		DeadlineSeconds: f.DeadlineSeconds,
	}
	if f.Service != "" {
		g.fillCall(f, &q)
		return q
	}
	g.fillPrompt(f, &q)
	return q
}

// fillCall sets the fields of a service call.
func (g *generator) fillCall(f Flow, q *Request) {
	q.Workspace = g.pickWorkspace().ID
	q.Service, q.Method, q.Path, q.WorkSeconds = f.Service, f.Method, f.Path, f.WorkSeconds
	if g.rng.Float64() >= f.KeyShare {
		return
	}
	q.Key = "k"
	if g.rng.Float64() < f.AgainShare {
		q.AgainSeconds = 0.01 + g.rng.Float64()*0.6
	}
}

// fillPrompt sets the fields of a model request.
func (g *generator) fillPrompt(f Flow, q *Request) {
	c := g.nextConversation(f, q.At)
	q.Workspace, q.Segments, q.Model = c.workspace.ID, c.segments, f.Model
	q.Output = f.OutputMin + g.rng.IntN(f.OutputMax-f.OutputMin+1)
	q.Whole = g.rng.Float64() < f.WholeShare
	if g.rng.Float64() < f.LeaveShare {
		q.LeaveSeconds = 0.05 + g.rng.Float64()*0.6
	}
}

// nextConversation continues the oldest open conversation of the flow or starts a
// new one.
func (g *generator) nextConversation(f Flow, at float64) conversation {
	open := g.open[f.Name]
	continues := f.Turns > 1 && g.rng.Float64() < 1-1/f.Turns
	if continues && len(open) > 0 && at-open[0].lastTurn >= minPauseSeconds {
		c := open[0]
		g.open[f.Name] = open[1:]
		c.segments = append(slices.Clone(c.segments), g.newSegment("turn", f.TurnTokens))
		c.lastTurn = at
		if g.rng.Float64() >= 1/(f.Turns-1) {
			g.open[f.Name] = append(g.open[f.Name], c)
		}
		return c
	}
	c := g.newConversation(f, at)
	if f.Turns > 1 {
		g.open[f.Name] = append(g.open[f.Name], c)
	}
	return c
}

func (g *generator) newConversation(f Flow, at float64) conversation {
	c := conversation{workspace: g.pickWorkspace(), lastTurn: at}
	path := ""
	for _, l := range f.Levels {
		if l.Count == 0 {
			c.segments = append(c.segments, g.newSegment(l.Name, l.Tokens))
			continue
		}
		path += fmt.Sprintf("/%s%d", l.Name, g.pickSegment(l, at))
		c.segments = append(c.segments, Segment{path[1:], l.Tokens})
	}
	if f.Turns > 1 || f.TurnTokens > 0 {
		c.segments = append(c.segments, g.newSegment("turn", f.TurnTokens))
	}
	return c
}

// pickSegment returns the number of a segment of level l. From ShiftSeconds on
// another segment is the hot one.
func (g *generator) pickSegment(l PromptLevel, at float64) int {
	hot := 0
	if g.ShiftSeconds > 0 && at >= g.ShiftSeconds {
		hot = l.Count / 2
	}
	if g.rng.Float64() < l.Hot {
		return hot
	}
	return g.rng.IntN(l.Count)
}

// newSegment returns a segment with a new id.
func (g *generator) newSegment(name string, tokens int) Segment {
	g.segments++
	return Segment{fmt.Sprintf("%s-%d", name, g.segments), tokens}
}

// pickWorkspace draws a workspace by the shares of the workspaces.
func (g *generator) pickWorkspace() Workspace {
	x := g.rng.Float64()
	for _, w := range g.Workspaces {
		if x -= w.Share; x < 0 {
			return w
		}
	}
	return g.Workspaces[len(g.Workspaces)-1]
}
