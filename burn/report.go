package burn

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Report holds the request counts and latencies of one instance or, after Merge, of
// several.
type Report struct {
	At time.Time `json:"at"`
	// Instances are the instances whose requests are counted. Missing are those that
	// did not respond, so their requests are not counted.
	Instances []hbs.InstanceID `json:"instances"`
	Missing   []hbs.InstanceID `json:"missing,omitempty"`
	Rows      []Row            `json:"rows"`
	Latencies []Latency        `json:"latencies"`
}

// Row holds the counts of one objective for one workspace and model.
type Row struct {
	Objective Objective       `json:"objective"`
	Workspace hbs.WorkspaceID `json:"workspace"`
	Model     hbs.ModelName   `json:"model"`
	// Counts has one entry for each of Windows, in their order.
	Counts []Count `json:"counts"`
}

// Count holds the numbers of good and bad requests.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Latency is the distribution of a latency in the current and the previous hour.
type Latency struct {
	Kind      ObjectiveKind `json:"kind"`
	Model     hbs.ModelName `json:"model"`
	Histogram Histogram     `json:"histogram"`
}

// Histogram is a distribution of microseconds. It is encoded in JSON as a string
// in the compressed format of HdrHistogram.
type Histogram struct {
	*hdrhistogram.Histogram
}

// MarshalJSON implements json.Marshaler.
func (h Histogram) MarshalJSON() (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode histogram") }()
	text, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(text))
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Histogram) UnmarshalJSON(data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "decode histogram") }()
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	h.Histogram, err = hdrhistogram.Decode([]byte(text))
	return err
}

// Quantile returns the latency at quantile q, between 0 and 1.
func (h Histogram) Quantile(q float64) time.Duration {
	const percent = 100
	return time.Duration(h.ValueAtQuantile(q*percent)) * time.Microsecond
}

// Rate returns the burn rate over Windows[i]; 0 if it has no requests.
func (r *Row) Rate(i int) float64 {
	c := r.Counts[i]
	total := c.Good + c.Bad
	if total == 0 {
		return 0
	}
	share := float64(c.Bad) / float64(total)
	return share / (1 - r.Objective.Target)
}

// Alarms returns the names of the alarms that are raised for r.
func (r *Row) Alarms() []string {
	var names []string
	for _, a := range Alarms {
		if r.Rate(windowIndex(a.Long)) >= a.Rate && r.Rate(windowIndex(a.Short)) >= a.Rate {
			names = append(names, a.Name)
		}
	}
	return names
}

func windowIndex(name string) int {
	return slices.IndexFunc(Windows, func(w Window) bool { return w.Name == name })
}

// Validate returns an error if a decoded report does not have the structure that
// this version expects.
func (r *Report) Validate() error {
	for i := range r.Rows {
		if n := len(r.Rows[i].Counts); n != len(Windows) {
			return errors.Newf("burn report: row %d has %d windows, want %d", i, n, len(Windows))
		}
	}
	for i, l := range r.Latencies {
		if l.Histogram.Histogram == nil {
			return errors.Newf("burn report: latency %d has no histogram", i)
		}
	}
	return nil
}

// Merge adds the instances, counts and latencies of other to r.
func (r *Report) Merge(other *Report) {
	r.Instances = append(r.Instances, other.Instances...)
	r.Missing = append(r.Missing, other.Missing...)
	for _, row := range other.Rows {
		r.mergeRow(row)
	}
	for _, l := range other.Latencies {
		r.mergeLatency(l)
	}
	r.sort()
}

func (r *Report) mergeRow(row Row) {
	for i := range r.Rows {
		existing := &r.Rows[i]
		if existing.Objective != row.Objective || existing.Workspace != row.Workspace || existing.Model != row.Model {
			continue
		}
		for w := range existing.Counts {
			existing.Counts[w].Good += row.Counts[w].Good
			existing.Counts[w].Bad += row.Counts[w].Bad
		}
		return
	}
	row.Counts = slices.Clone(row.Counts)
	r.Rows = append(r.Rows, row)
}

func (r *Report) mergeLatency(l Latency) {
	for _, existing := range r.Latencies {
		if existing.Kind == l.Kind && existing.Model == l.Model {
			existing.Histogram.Merge(l.Histogram.Histogram)
			return
		}
	}
	copied := newHistogram()
	copied.Merge(l.Histogram.Histogram)
	r.Latencies = append(r.Latencies, Latency{l.Kind, l.Model, Histogram{copied}})
}
