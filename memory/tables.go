package memory

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The metrics of this package.
const (
	meterUsed      = "memory_used"
	meterRefused   = "memory_refused"
	meterReclaimed = "memory_reclaimed"
)

// Meters documents the metrics of this package.
var Meters = []hbs.Meter{
	{Name: meterUsed, Kind: hbs.MeterGauge, Unit: hbs.UnitBytes, Title: "memory that is held for clients", Action: "Near 0.4 of the process's memory, requests are refused: add instances or memory."},
	{Name: meterRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "reservations of memory that were refused", Action: "The line \"memory for clients is used up\" names the share. Look for callers that send more than they should; else add instances."},
	{Name: meterReclaimed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "clients whose connection or request was given up because others needed the memory", Action: "Look for callers that keep connections or uploads open without an end."},
}

// logInterval is the least time between two log lines about refused reservations.
const logInterval = 10 * time.Second

// Observe makes the budget tell of itself in metrics and log lines. It must be called
// before the first reservation.
func (b *Budget) Observe(r metrics.Registry, log *zap.Logger) {
	b.refused, b.reclaimed = metrics.GetOrRegisterCounter(meterRefused, r), metrics.GetOrRegisterCounter(meterReclaimed, r)
	r.GetOrRegister(meterUsed, metrics.NewFunctionalGauge(b.Used))
	b.log = log
}

// refuse counts a refused reservation.
func (b *Budget) refuse(s Share, n int64) {
	b.refused.Inc(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.logged) < logInterval {
		return
	}
	b.logged = time.Now()
	b.log.Warn("memory for clients is used up", zap.String("share", string(s)), zap.Int64("wanted", n),
		zap.Int64("share_used", b.usedBy[s]), zap.Int64("share_limit", b.limits[s]), zap.Int64("used", b.used), zap.Int64("limit", b.bytes))
}

// Reclaimed counts a client whose connection or request was given up for others.
func (b *Budget) Reclaimed() {
	if b != nil {
		b.reclaimed.Inc(1)
	}
}
