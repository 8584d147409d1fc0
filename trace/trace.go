// Package trace reads, writes and generates request traces. docs/traces.md describes
// the format. A trace holds no text, only the ids and lengths of prompt segments.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
)

// Version is the version of the format that this package reads and writes.
const Version = 1

// Trace is a fleet and the requests that its callers send.
type Trace struct {
	Header   Header
	Requests []Request
}

// Header is the first line of a trace.
type Header struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	// Seconds is the length of the trace. The first WarmupSeconds are a warm-up:
	// requests that arrive in them don't count for latencies.
	Seconds       float64     `json:"seconds"`
	WarmupSeconds float64     `json:"warmup_seconds"`
	Crests        []Crest     `json:"crests"`
	Workspaces    []Workspace `json:"workspaces"`
	Fleet         Fleet       `json:"fleet"`
}

// Crest is a period of high demand, in seconds from the start.
type Crest struct {
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Workspace is one customer of the deployment.
type Workspace struct {
	ID hbs.WorkspaceID `json:"id" toml:"id"`
	// Share is the workspace's fraction of all requests; the shares add up to 1.
	Share float64 `json:"share" toml:"share"`
}

// Fleet is the deployment that serves the trace.
type Fleet struct {
	Region    hbs.RegionName   `json:"region" toml:"region"`
	Domains   []hbs.DomainName `json:"domains" toml:"domains"`
	Instances int              `json:"instances" toml:"instances"`
	Engines   []EngineGroup    `json:"engines" toml:"engines"`
	Services  []ServiceGroup   `json:"services" toml:"services"`
	// WeightLoadSeconds is how long an engine takes to load weights while at most
	// WeightLoads engines do so concurrently.
	WeightLoadSeconds float64 `json:"weight_load_seconds" toml:"weight_load_seconds"`
	WeightLoads       int     `json:"weight_loads" toml:"weight_loads"`
}

// CacheTokens returns the total size of the engines' caches in tokens.
func (f *Fleet) CacheTokens() (tokens int) {
	for _, g := range f.Engines {
		tokens += g.Count * g.Shape.CacheTokens
	}
	return tokens
}

// EngineGroup describes the engines of one model.
type EngineGroup struct {
	Model        hbs.ModelName      `json:"model" toml:"model"`
	Weights      hbs.WeightsVersion `json:"weights" toml:"weights"`
	Count        int                `json:"count" toml:"count"`
	Shape        engine.Shape       `json:"shape" toml:"shape"`
	Capabilities hbs.Capabilities   `json:"capabilities" toml:"capabilities"`
}

// ServiceGroup describes the replicas of one plain service.
type ServiceGroup struct {
	Service      hbs.ServiceName  `json:"service" toml:"service"`
	Count        int              `json:"count" toml:"count"`
	Slots        int              `json:"slots" toml:"slots"`
	Capabilities hbs.Capabilities `json:"capabilities" toml:"capabilities"`
	Routes       []Route          `json:"routes" toml:"routes"`
}

// Route assigns a class to the service calls with a method and path.
type Route struct {
	Method string         `json:"method" toml:"method"`
	Path   string         `json:"path" toml:"path"`
	Class  hbs.RouteClass `json:"class" toml:"class"`
}

// Work classifies requests by size. Only the measurements use it.
type Work string

// The sizes of work.
const (
	WorkShort  Work = "short"
	WorkNormal Work = "normal"
	WorkLong   Work = "long"
)

// Request is one line of a trace after the header.
type Request struct {
	// At is the arrival in seconds from the start. Lines are sorted by it.
	At        float64         `json:"at"`
	ID        string          `json:"id"`
	Workspace hbs.WorkspaceID `json:"workspace"`
	Class     hbs.RouteClass  `json:"class"`
	Work      Work            `json:"work,omitempty"`
	Priority  hbs.Priority    `json:"priority,omitempty"`
	// DeadlineSeconds is relative to the arrival.
	DeadlineSeconds float64 `json:"deadline_seconds"`

	// The fields of model requests. Two prompts have a common prefix as far as their
	// segments are the same.
	Model    hbs.ModelName `json:"model,omitempty"`
	Segments []Segment     `json:"segments,omitempty"`
	// Output is the length of the answer in tokens. Whole requests an answer that
	// is not streamed.
	Output int  `json:"output,omitempty"`
	Whole  bool `json:"whole,omitempty"`

	// The fields of service calls. WorkSeconds is the run time, Key the idempotency
	// key.
	Service     hbs.ServiceName `json:"service,omitempty"`
	Method      string          `json:"method,omitempty"`
	Path        string          `json:"path,omitempty"`
	WorkSeconds float64         `json:"work_seconds,omitempty"`
	Key         string          `json:"key,omitempty"`
	// AgainSeconds after the arrival the caller sends the same request once more
	// through another instance, regardless of the result of the first; 0 is never.
	AgainSeconds float64 `json:"again_seconds,omitempty"`
	// LeaveSeconds after the arrival the caller closes the connection; 0 is never.
	LeaveSeconds float64 `json:"leave_seconds,omitempty"`
}

// Segment is a part of a prompt. Segments with the same id have the same text.
type Segment struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Arrival returns the arrival as a duration from the start.
func (q *Request) Arrival() time.Duration { return Seconds(q.At) }

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// InCrest reports whether a time, in seconds from the start, lies in a crest.
func (h *Header) InCrest(at float64) bool {
	for _, c := range h.Crests {
		if at >= c.From && at < c.To {
			return true
		}
	}
	return false
}

// ReadFile reads a trace from a file.
func ReadFile(name string) (t *Trace, err error) {
	defer func() { err = errors.Wrapf(err, "trace %s", name) }()
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Read(f)
}

// Read reads a trace. An error names the line.
func Read(r io.Reader) (t *Trace, err error) {
	line := 1
	defer func() { err = errors.Wrapf(err, "line %d", line) }()
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	t = &Trace{}
	if err := dec.Decode(&t.Header); err != nil {
		return nil, err
	}
	if err := t.Header.Validate(); err != nil {
		return nil, err
	}
	for {
		line++
		var q Request
		err := dec.Decode(&q)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err != nil {
			return nil, err
		}
		if err := t.append(q); err != nil {
			return nil, err
		}
	}
}

func (t *Trace) append(q Request) error {
	if err := q.Validate(); err != nil {
		return err
	}
	if n := len(t.Requests); n > 0 && q.At < t.Requests[n-1].At {
		return errors.New("at is earlier than on the previous line")
	}
	t.Requests = append(t.Requests, q)
	return nil
}

// Validate returns an error for the first invariant that h violates.
func (h *Header) Validate() error {
	switch {
	case h.Version != Version:
		return errors.Newf("version is %d, want %d", h.Version, Version)
	case len(h.Fleet.Domains) == 0 || h.Fleet.Instances < 1:
		return errors.New("fleet without domains or instances")
	case len(h.Workspaces) == 0:
		return errors.New("no workspaces")
	}
	return nil
}

// Validate returns an error for the first invariant that q violates.
func (q *Request) Validate() error {
	switch {
	case q.ID == "" || q.Workspace == "":
		return errors.New("request without id or workspace")
	case (q.Model == "") == (q.Service == ""):
		return errors.Newf("request %s: want either a model or a service", q.ID)
	case q.Model != "" && (len(q.Segments) == 0 || q.Output < 1):
		return errors.Newf("request %s: model request without segments or output", q.ID)
	case q.DeadlineSeconds <= 0:
		return errors.Newf("request %s: no deadline", q.ID)
	}
	return nil
}

// Write writes the trace.
func (t *Trace) Write(w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "write trace") }()
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	if err := enc.Encode(&t.Header); err != nil {
		return err
	}
	for i := range t.Requests {
		if err := enc.Encode(&t.Requests[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}
