package limit

import (
	"math"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// claim is one workspace's use of one party, as published.
type claim struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is not empty.
	Workspace hbs.WorkspaceID
	// Demand is in arrivals a second, not negative.
	Demand float64
	// Running is not negative; Wanted is at least Running.
	Running int
	Wanted  float64
}

func (c *claim) validate() error {
	switch {
	case c.Workspace == "":
		return errors.New("claim without a workspace")
	case !(c.Demand >= 0 && c.Demand < 1e9):
		return errors.Newf("demand %g of %q", c.Demand, c.Workspace)
	case c.Running < 0 || !(c.Wanted >= 0 && c.Wanted < 1e9):
		return errors.Newf("running %d, wanted %g of %q", c.Running, c.Wanted, c.Workspace)
	}
	return nil
}

func (c *claim) zero() bool { return c.Demand == 0 && c.Running == 0 && c.Wanted == 0 }

// add adds the claim of a part to that of the whole.
func (c *claim) add(part claim) {
	c.Demand += part.Demand
	c.Running += part.Running
	c.Wanted += part.Wanted
}

// coarse rounds to what takes the fewest bytes.
func (c claim) coarse() claim {
	c.Demand, c.Wanted = coarse(c.Demand), coarse(c.Wanted)
	return c
}

// coarseSteps is the number of values between two powers of two that a float of
// two bytes tells apart.
const coarseSteps = 1 << 11

func coarse(x float64) float64 {
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(math.Round(fraction*coarseSteps)/coarseSteps, exponent)
}

const (
	// nearRate is the part of an idle party's rate from which a demand is
	// published (rule 8). The rest is room for a demand that grows meanwhile.
	nearRate = 0.5
	// nearConcurrency is the same for concurrency. It bounds by how much a shift
	// of entry passes a limit while unpublished work still runs.
	nearConcurrency = 0.1
)

// near reports whether c is near the share that the party has without a claim.
func (c *claim) near(b Bounds, share split) bool {
	if b.RequestsPerSecond > 0 && c.Demand > nearRate*share.rate {
		return true
	}
	return b.Concurrency > 0 && c.Wanted > nearConcurrency*float64(share.concurrency)
}
