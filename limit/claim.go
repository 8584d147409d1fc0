package limit

import (
	"math"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// claim is the demand and the running requests of one workspace at one
// participant, as published.
type claim struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is not empty.
	Workspace hbs.WorkspaceID
	// Demand is in arrivals per second, not negative.
	Demand float64
	// Running is the number of running requests, not negative. Wanted is
	// Running plus the rate of refused requests.
	Running int
	Wanted  float64
}

func (c *claim) validate() error {
	switch {
	case c.Workspace == "":
		return errors.New("claim without a workspace")
	case !(c.Demand >= 0 && c.Demand < 1e9):
		return errors.Newf("invalid demand %g of workspace %q", c.Demand, c.Workspace)
	case c.Running < 0 || !(c.Wanted >= 0 && c.Wanted < 1e9):
		return errors.Newf("invalid concurrency: running %d, wanted %g of workspace %q", c.Running, c.Wanted, c.Workspace)
	}
	return nil
}

func (c *claim) zero() bool { return c.Demand == 0 && c.Running == 0 && c.Wanted == 0 }

// add adds the claim of an instance to that of its domain.
func (c *claim) add(part claim) {
	c.Demand += part.Demand
	c.Running += part.Running
	c.Wanted += part.Wanted
}

// rounded returns c with its floats rounded to the fewest bytes in CBOR.
func (c claim) rounded() claim {
	c.Demand, c.Wanted = roundToFloat16(c.Demand), roundToFloat16(c.Wanted)
	return c
}

// float16Steps is 2 to the number of significant bits of a two-byte float.
const float16Steps = 1 << 11

// roundToFloat16 rounds x to the precision of a two-byte float.
func roundToFloat16(x float64) float64 {
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(math.Round(fraction*float16Steps)/float16Steps, exponent)
}

const (
	// publishRateFraction is the part of the rate without a claim from which a
	// demand is published (rule 8). The rest is headroom for demand that grows
	// until the claim arrives.
	publishRateFraction = 0.5
	// publishConcurrencyFraction is the same for concurrency. It bounds by how
	// much moving traffic exceeds a limit while requests that were not
	// published still run.
	publishConcurrencyFraction = 0.1
)

// nearShare reports whether c is near share, which the participant gets without
// a claim.
func (c *claim) nearShare(limits Limits, share allocation) bool {
	if limits.RequestsPerSecond > 0 && c.Demand > publishRateFraction*share.rate {
		return true
	}
	return limits.Concurrency > 0 && c.Wanted > publishConcurrencyFraction*float64(share.concurrency)
}
