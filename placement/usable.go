package placement

import (
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// serves reports whether e may get new work of req as far as its record tells.
func serves(e *hbs.Endpoint, req *hbs.Request) bool {
	if e.State != hbs.StateLive {
		return false
	}
	if e.Service != req.Service {
		return false
	}
	if req.Model == "" {
		return e.Kind == hbs.KindService
	}
	return e.Serves(req.Model, req.Adapter) && weightsAgree(e.Weights, req.Weights)
}

// weightsAgree treats an empty version as one that is not known yet; the
// engine itself refuses a request that names other weights.
func weightsAgree(have, want hbs.WeightsVersion) bool {
	return have == "" || want == "" || have == want
}

func avoided(e *hbs.Endpoint, avoid []hbs.EndpointID) bool {
	return slices.Contains(avoid, e.ID)
}
