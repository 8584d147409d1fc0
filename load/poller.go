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
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 16 << 10
	// maxReads is how many endpoints are read at the same time.
	maxReads = 16
	// readTimeout bounds the reading of one report.
	readTimeout = 500 * time.Millisecond
)

// Report is what an endpoint says of its load.
type Report struct {
	Incarnation         hbs.Incarnation    `json:"incarnation"`
	Weights             hbs.WeightsVersion `json:"weights"`
	Running             int                `json:"running"`
	Waiting             int                `json:"waiting"`
	WaitingPromptTokens int                `json:"waiting_prompt_tokens"`
	CachedTokens        int                `json:"cached_tokens"`
	CacheCapacityTokens int                `json:"cache_capacity_tokens"`
	AgeSeconds          float64            `json:"age_seconds"`
}

// Validate reports the first value of r that makes no sense.
func (r *Report) Validate() error {
	if r.Running < 0 || r.Waiting < 0 || r.WaitingPromptTokens < 0 || r.AgeSeconds < 0 {
		return errors.New("report with a negative value")
	}
	return nil
}

// Poller reads the load reports of endpoints.
type Poller struct {
	Network hbs.Network
	// Interval is the least time between two reads of one endpoint; positive.
	Interval time.Duration
	// PerSecond bounds the reads of all endpoints together: with many the time
	// between two reads of one grows. 0 for no bound.
	PerSecond float64
	// Endpoints returns the endpoints that this instance reads now.
	Endpoints func() []hbs.Endpoint
	// Take receives each report, or the error of a failed reading.
	Take func(hbs.Endpoint, Report, error)
}

// Run polls until ctx ends. It returns ctx's error.
func (p *Poller) Run(ctx context.Context) error {
	transport := network.Transport(p.Network)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: readTimeout}
	for {
		started := time.Now()
		endpoints := p.Endpoints()
		p.round(ctx, client, endpoints)
		next := started.Add(p.interval(len(endpoints)))
		if err := delay.For(ctx, time.Until(next)); err != nil {
			return err
		}
	}
}

// interval returns the time between two reads of one of n endpoints.
func (p *Poller) interval(n int) time.Duration {
	if p.PerSecond == 0 {
		return p.Interval
	}
	least := float64(n) / p.PerSecond
	return max(p.Interval, time.Duration(least*float64(time.Second)))
}

func (p *Poller) round(ctx context.Context, client *http.Client, endpoints []hbs.Endpoint) {
	var mu sync.Mutex
	reads := pool.New().WithMaxGoroutines(maxReads)
	for _, e := range endpoints {
		reads.Go(func() {
			r, err := Read(ctx, client, &e)
			if ctx.Err() != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			p.Take(e, r, err)
		})
	}
	reads.Wait()
}

// Read asks e for its load.
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
