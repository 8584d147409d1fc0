package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Report is the result of one replay.
type Report struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	Clock  Clock  `json:"clock"`
	// Requests are counted by the best outcome among the times they were sent. Left
	// counts those whose caller closed the connection itself.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
	Left     int `json:"left"`
	// Reasons counts refusals and failures by reason.
	Reasons map[string]int `json:"reasons"`
	// Violations counts the violations of each kind; Examples describes the first of
	// each.
	Violations     map[Violation]int `json:"violations"`
	ViolationCount int               `json:"violation_count"`
	Examples       []string          `json:"examples"`

	// PrefixHitRate is the share of prompt tokens that engines found in their
	// cache, OracleHitRate that of the oracle.
	PrefixHitRate   float64 `json:"prefix_hit_rate"`
	OracleHitRate   float64 `json:"oracle_hit_rate"`
	HitRateOfOracle float64 `json:"hit_rate_of_oracle"`
	ComputedTokens  int     `json:"computed_tokens"`
	PromptTokens    int     `json:"prompt_tokens"`
	// RecomputedShare is the number of computed tokens beyond those that the oracle
	// computes, divided by the prompt tokens.
	RecomputedShare    float64 `json:"recomputed_tokens_share"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	// OfferedLoadAtCrest is the load offered in crests divided by the capacity of
	// the engines, for the model with the highest.
	OfferedLoadAtCrest float64 `json:"offered_load_at_crest"`
	// OfferedLoad is the same over the whole trace.
	OfferedLoad float64 `json:"offered_load"`
	// GoodputOfCapacity is the engine seconds of the answers within their deadline,
	// divided by the smaller of those offered and the capacity of the engines.
	GoodputOfCapacity float64   `json:"goodput_of_capacity"`
	TTFT              Quantiles `json:"ttft_seconds"`
	InterToken        Quantiles `json:"inter_token_seconds"`
	// ShortWait is the time to first token of requests marked as short.
	ShortWait Quantiles `json:"short_wait_seconds"`
	// Dispatch is the time from sending a request until an engine received it,
	// Queue from then until the engine started the prefill. Neither includes the
	// prefill.
	Dispatch       Quantiles `json:"dispatch_seconds"`
	Queue          Quantiles `json:"engine_queue_seconds"`
	GoodputAtCrest float64   `json:"goodput_at_crest"`
	Goodput        float64   `json:"goodput"`
	// LightRefused counts refused requests of workspaces with less than half an
	// equal share of the requests.
	LightRefused int       `json:"light_workspaces_refused"`
	LightGoodput float64   `json:"light_workspaces_goodput"`
	FairShare    FairShare `json:"fair_share"`
	// Limits is zero if no limit was set.
	Limits              Limits  `json:"limits"`
	PlatformCallsPerSec float64 `json:"platform_calls_per_second"`
	// ControlBytes is the control traffic per second and instance. It excludes
	// peers and platform if instances run as separate processes.
	ControlBytes float64 `json:"control_bytes_per_second_per_instance"`
	// ControlBytesBy splits ControlBytes by remote party.
	ControlBytesBy ControlBytes `json:"control_bytes_by"`
	// ConfigSeconds is the longest time until an instance applied a configuration
	// change.
	ConfigSeconds float64 `json:"config_adoption_seconds"`
	// RestartSeconds is the longest time until a restarted instance was ready.
	RestartSeconds float64 `json:"restart_seconds"`
	// RolloutSeconds is the longest time from a change of weights until an engine
	// served them. RolloutMissing counts the engines that had not done so at the
	// end.
	RolloutSeconds float64 `json:"rollout_seconds"`
	RolloutMissing int     `json:"rollout_missing_engines"`
	// MostLoadsAtOnce is the largest number of concurrent weight loads.
	MostLoadsAtOnce int `json:"most_loads_at_once"`
	// StaleOrders counts the orders that engines took after one with a higher
	// number.
	StaleOrders int `json:"stale_orders_taken"`
	// WallSeconds is the wall-clock time of the replay.
	WallSeconds float64 `json:"wall_seconds"`
}

// ControlBytes is control traffic in bytes per second and instance, by remote
// party: peers, the platform, and endpoints with their load reports and cache
// events.
type ControlBytes struct {
	Peer     float64 `json:"peer"`
	Platform float64 `json:"platform"`
	Endpoint float64 `json:"endpoint"`
}

// Quantiles are the quantiles of a number of durations, in seconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

func quantilesOf(seconds []float64) (s Quantiles) {
	slices.Sort(seconds)
	at := func(q float64) float64 {
		if len(seconds) == 0 {
			return 0
		}
		return seconds[min(len(seconds)-1, int(q*float64(len(seconds))))]
	}
	return Quantiles{len(seconds), at(0.50), at(0.95), at(0.99)}
}

// Measure returns the number at a JSON path of the report, such as
// "ttft_seconds.p95".
func (r *Report) Measure(name string) (v float64, err error) {
	defer func() { err = errors.Wrapf(err, "measure %q", name) }()
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	var node any
	if err := json.Unmarshal(data, &node); err != nil {
		return 0, err
	}
	for part := range strings.SplitSeq(name, ".") {
		m, ok := node.(map[string]any)
		if !ok || m[part] == nil {
			return 0, errors.New("no such measure")
		}
		node = m[part]
	}
	v, ok := node.(float64)
	if !ok {
		return 0, errors.New("not a number")
	}
	return v, nil
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("trace", "%s, policy %s, seed %d, %s clock", r.Trace, r.Policy, r.Seed, r.Clock)
	row("requests", "%d: %d answered, %d not_run, %d unknown, %d failed, %d left by their caller",
		r.Requests, r.Answered, r.NotRun, r.Unknown, r.Failed, r.Left)
	row("reasons", "%v", r.Reasons)
	row("violations", "%d %v", r.ViolationCount, r.Violations)
	row("prefix hit rate", "%.4f, oracle %.4f, ratio %.4f", r.PrefixHitRate, r.OracleHitRate, r.HitRateOfOracle)
	row("computed tokens", "%d of %d; recomputed beyond the oracle %.4f", r.ComputedTokens, r.PromptTokens, r.RecomputedShare)
	row("attempts per request", "%.4f", r.AttemptsPerRequest)
	r.TTFT.row(row, "time to first token")
	r.InterToken.row(row, "time between tokens")
	r.ShortWait.row(row, "wait of short work")
	r.Dispatch.row(row, "arrival to dispatch")
	r.Queue.row(row, "dispatch to prefill")
	row("goodput", "%.4f at the crest (offered load %.2f), %.4f overall", r.GoodputAtCrest, r.OfferedLoadAtCrest, r.Goodput)
	row("goodput of capacity", "%.4f (offered load %.2f)", r.GoodputOfCapacity, r.OfferedLoad)
	row("light workspaces", "%d refused, goodput %.4f", r.LightRefused, r.LightGoodput)
	row("fair share", "%d workspaces ask for no more: %d of their %d requests without an answer in time, %d refused; %d ask for more",
		r.FairShare.Workspaces, r.FairShare.Lost, r.FairShare.Requests, r.FairShare.Refused, r.FairShare.Over)
	r.Limits.Rate.row(row, "rate limits")
	r.Limits.Concurrency.row(row, "concurrency limits")
	row("platform calls", "%.1f a second", r.PlatformCallsPerSec)
	r.ControlBytesBy.row(row)
	row("configuration", "in force everywhere after %.2f s", r.ConfigSeconds)
	row("restarts", "ready after %.2f s at most", r.RestartSeconds)
	row("rollout", "last engine after %.2f s, %d engines missing", r.RolloutSeconds, r.RolloutMissing)
	row("orders", "%d weight loads at once at most, %d stale orders taken", r.MostLoadsAtOnce, r.StaleOrders)
	row("real time", "%.1f s", r.WallSeconds)
	for _, e := range r.Examples {
		row("violation", "%s", e)
	}
	return errors.Wrap(t.Flush(), "write report")
}

// row omits the traffic of peers and platform if it could not be counted, as
// instances run as separate processes.
func (c ControlBytes) row(row func(string, string, ...any)) {
	if c.Peer == 0 && c.Platform == 0 {
		row("control bytes", "not counted; endpoints %.0f a second and instance", c.Endpoint)
		return
	}
	row("control bytes", "%.0f a second and instance: peers %.0f, platform %.0f, endpoints %.0f",
		c.Peer+c.Platform+c.Endpoint, c.Peer, c.Platform, c.Endpoint)
}

func (s Quantiles) row(row func(string, string, ...any), name string) {
	row(name, "p50 %.3f s, p95 %.3f s, p99 %.3f s (%d)", s.P50, s.P95, s.P99, s.Count)
}
