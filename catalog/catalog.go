// Package catalog joins the tables of knobs and metrics of all packages. The
// validation of configurations, the metrics endpoint and the generated pages under
// docs use them.
package catalog

import (
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/claim"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/converge"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/entry"
	"github.com/hornbeamstage/hornbeamstage/forward"
	"github.com/hornbeamstage/hornbeamstage/gateway"
	"github.com/hornbeamstage/hornbeamstage/hedge"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/limit"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/permit"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/quarantine"
	"github.com/hornbeamstage/hornbeamstage/release"
	"github.com/hornbeamstage/hornbeamstage/retry"
	"github.com/hornbeamstage/hornbeamstage/weights"
)

// Knobs returns the knobs, the configurable values, of all packages.
func Knobs() []hbs.Knob {
	return slices.Concat(
		admission.Knobs,
		attempt.Knobs,
		claim.Knobs,
		entry.Knobs,
		hedge.Knobs,
		lease.Knobs,
		limit.Knobs,
		order.Knobs,
		permit.Knobs,
		weights.Knobs,
		membership.Knobs,
		mirror.Knobs,
		peer.Knobs,
		placement.Knobs,
		platform.Knobs,
		quarantine.Knobs,
		retry.Knobs,
	)
}

// Meters returns the metrics of all packages.
func Meters() []hbs.Meter {
	return slices.Concat(
		admission.Meters,
		attempt.Meters,
		claim.Meters,
		config.Meters,
		converge.Meters,
		dispatch.Meters,
		entry.Meters,
		forward.Meters,
		gateway.Meters,
		hedge.Meters,
		lease.Meters,
		limit.Meters,
		order.Meters,
		permit.Meters,
		weights.Meters,
		membership.Meters,
		memory.Meters,
		mirror.Meters,
		peer.Meters,
		placement.Meters,
		platform.Meters,
		quarantine.Meters,
		release.Meters,
		retry.Meters,
	)
}
