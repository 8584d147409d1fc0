package placement

import (
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// serves reports whether e may get new attempts of req according to the roster.
func serves(e *hbs.Endpoint, req *hbs.Request) bool {
	if e.State != hbs.StateLive {
		return false
	}
	if e.Service != req.Service || !softwareAgrees(e.Software, req.Software) {
		return false
	}
	if req.Model == "" {
		return e.Kind == hbs.KindService
	}
	return e.Serves(req.Model, req.Adapter) && weightsAgree(e.Weights, req.Weights)
}

// softwareAgrees reports whether an endpoint that runs have may serve a request for want.
func softwareAgrees(have, want hbs.SoftwareVersion) bool {
	return want == "" || want == have || want == hbs.AnySoftware && have != ""
}

// weightsAgree treats an empty version as unknown and compatible. The engine
// itself refuses a request for other weights than its own.
func weightsAgree(have, want hbs.WeightsVersion) bool {
	return have == "" || want == "" || have == want
}

func avoided(e *hbs.Endpoint, avoid []hbs.EndpointID) bool {
	return slices.Contains(avoid, e.ID)
}
