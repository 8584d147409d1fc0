package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
)

const (
	// maxReportBytes limits the body of a report.
	maxReportBytes = 16 << 10
	// maxConcurrentReads limits the reports requested at the same time.
	maxConcurrentReads = 16
	// readTimeout limits one request for a report.
	readTimeout = 500 * time.Millisecond
)

// Report is the load that an endpoint reports.
type Report struct {
	Incarnation hbs.Incarnation    `json:"incarnation"`
	Weights     hbs.WeightsVersion `json:"weights"`
	// Running is the number of requests in progress, Waiting that of queued ones.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingPromptTokens is the number of prompt tokens still to be computed.
	WaitingPromptTokens int `json:"waiting_prompt_tokens"`
	CachedTokens        int `json:"cached_tokens"`
	CacheCapacityTokens int `json:"cache_capacity_tokens"`
	// AgeSeconds is the age of the other values when the report was sent.
	AgeSeconds float64 `json:"age_seconds"`
}

// Validate returns an error if a value of r is impossible.
func (r *Report) Validate() error {
	if min(r.Running, r.Waiting, r.WaitingPromptTokens, r.CachedTokens, r.CacheCapacityTokens) < 0 || r.AgeSeconds < 0 {
		return errors.New("load report has a negative value")
	}
	return nil
}

// Poller requests the load reports of endpoints periodically.
type Poller struct {
	Network hbs.Network
	// Interval is the minimum time between two reads of one endpoint; positive.
	Interval time.Duration
	// ReadsPerSecond limits the reads per second of all endpoints together; with
	// many endpoints, each is read less often than every Interval. 0 means no
	// limit.
	ReadsPerSecond float64
	// Endpoints returns the endpoints that this instance currently has to read.
	Endpoints func() []hbs.Endpoint
	// OnReport receives each report, or the error of a failed read. It is never
	// called concurrently.
	OnReport func(hbs.Endpoint, Report, error)
}

// Run polls until ctx is done and returns its error.
func (p *Poller) Run(ctx context.Context) error {
	transport := network.NewTransport(p.Network)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: readTimeout}
	for {
		started := time.Now()
		endpoints := p.Endpoints()
		p.readAll(ctx, client, endpoints)
		next := started.Add(p.interval(len(endpoints)))
		if err := delay.For(ctx, time.Until(next)); err != nil {
			return err
		}
	}
}

// interval returns the time between two reads of one of n endpoints.
func (p *Poller) interval(n int) time.Duration {
	if p.ReadsPerSecond == 0 {
		return p.Interval
	}
	minimum := float64(n) / p.ReadsPerSecond
	return max(p.Interval, time.Duration(minimum*float64(time.Second)))
}

// readAll reads each endpoint once and passes the results to OnReport.
func (p *Poller) readAll(ctx context.Context, client *http.Client, endpoints []hbs.Endpoint) {
	var mu sync.Mutex
	reads := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for _, e := range endpoints {
		reads.Go(func() {
			r, err := Read(ctx, client, &e)
			if ctx.Err() != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			p.OnReport(e, r, err)
		})
	}
	reads.Wait()
}

// Read requests the load report of e.
func Read(ctx context.Context, client *http.Client, e *hbs.Endpoint) (r Report, err error) {
	defer func() { err = errors.Wrapf(err, "read load of %s", e.ID) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+"/load", nil)
	if err != nil {
		return r, err
	}
	res, err := client.Do(req)
	if err != nil {
		return r, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return r, errors.Newf("status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&r); err != nil {
		return r, err
	}
	return r, r.Validate()
}
