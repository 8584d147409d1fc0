package weights

import hbs "github.com/hornbeamstage/hornbeamstage"

// Serving chooses the weights version for one request while a rollout is in
// progress. Each version gets requests in proportion to the slots of the live
// engines that serve it, so that neither the old nor the new engines idle. draw is
// any number that is uniformly distributed over requests. Without a live engine the
// result is the desired one.
func Serving(roster *hbs.Roster, model hbs.ModelName, desired hbs.WeightsVersion, draw uint64) hbs.WeightsVersion {
	total := uint64(0)
	for i := range roster.Endpoints {
		total += liveSlots(&roster.Endpoints[i], model)
	}
	if total == 0 {
		return desired
	}
	offset := draw % total
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		n := liveSlots(e, model)
		if offset < n {
			return e.Weights
		}
		offset -= n
	}
	return desired
}

// liveSlots returns the slots of e, at least 1, if it is a live engine of model
// with a known version, and 0 otherwise.
func liveSlots(e *hbs.Endpoint, model hbs.ModelName) uint64 {
	if e.Kind != hbs.KindEngine || e.Model != model || e.State != hbs.StateLive || e.Weights == "" {
		return 0
	}
	return uint64(max(e.Slots, 1))
}
