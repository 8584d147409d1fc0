package weights

import hbs "github.com/hornbeamstage/hornbeamstage"

// Serving chooses the version for one request while a rollout runs: each version
// that live engines serve gets requests in proportion to its slots, so that
// neither the old nor the new engines idle. The draw is any number that is spread
// evenly over requests. Without a live engine it is the wanted version.
func Serving(roster *hbs.Roster, model hbs.ModelName, wanted hbs.WeightsVersion, draw uint64) hbs.WeightsVersion {
	total := uint64(0)
	for i := range roster.Endpoints {
		total += slots(&roster.Endpoints[i], model)
	}
	if total == 0 {
		return wanted
	}
	at := draw % total
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		n := slots(e, model)
		if at < n {
			return e.Weights
		}
		at -= n
	}
	return wanted
}

// slots is the capacity of a live engine whose version is known.
func slots(e *hbs.Endpoint, model hbs.ModelName) uint64 {
	if e.Kind != hbs.KindEngine || e.Model != model || e.State != hbs.StateLive || e.Weights == "" {
		return 0
	}
	return uint64(max(e.Slots, 1))
}
