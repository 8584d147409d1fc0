package replay

import (
	"cmp"
	"math"
	"slices"
)

// rateUsage measures usage in requests per second.
func rateUsage(sent []sentRequest, limit float64) usageFunc {
	ran, ideal := admitted(sent), globalBucket(sent, limit)
	return func(p phase) usage {
		rate := ratePer(ran, p)
		return usage{used: rate, usable: ratePer(ideal, p), most: rate}
	}
}

func admitted(sent []sentRequest) []sentRequest {
	return slices.DeleteFunc(slices.Clone(sent), func(s sentRequest) bool { return !s.admitted() })
}

func ratePer(ran []sentRequest, p phase) float64 {
	n := 0.0
	for i := range ran {
		if p.contains(ran[i].at) {
			n++
		}
	}
	return n / p.seconds()
}

// burstSeconds sets the burst of the ideal token bucket: one request and the limit's
// rate over this time.
const burstSeconds = 0.25

// globalBucket returns the requests that a single token bucket for the whole fleet
// would have admitted.
func globalBucket(sent []sentRequest, limit float64) (out []sentRequest) {
	size := 1 + math.Ceil(limit*burstSeconds)
	tokens, last := size, 0.0
	for _, s := range sent {
		tokens = min(size, tokens+(s.at-last)*limit)
		last = s.at
		if tokens >= 1 {
			tokens--
			out = append(out, s)
		}
	}
	return out
}

// concurrencyUsage measures usage in concurrent requests.
func concurrencyUsage(sent []sentRequest, limit int) usageFunc {
	ran, ideal := admitted(sent), globalCounter(sent, limit)
	return func(p phase) usage {
		return usage{used: meanRunning(ran, p), usable: meanRunning(ideal, p), most: mostRunning(ran, p)}
	}
}

// globalCounter returns the requests that a single counter for the whole fleet would
// have admitted. A request that was refused is assumed to run as long as the mean
// of the others.
func globalCounter(sent []sentRequest, limit int) (out []sentRequest) {
	sum, n := 0.0, 0.0
	for i := range sent {
		if sent[i].admitted() {
			sum += sent[i].end - sent[i].at
			n++
		}
	}
	running := []float64{}
	for _, s := range sent {
		if !s.admitted() {
			s.end = s.at + sum/max(n, 1)
		}
		running = slices.DeleteFunc(running, func(end float64) bool { return end <= s.at })
		if len(running) < limit {
			running = append(running, s.end)
			out = append(out, s)
		}
	}
	return out
}

func meanRunning(ran []sentRequest, p phase) (mean float64) {
	for _, s := range ran {
		mean += max(0, min(s.end, p.to)-max(s.at, p.from))
	}
	return mean / p.seconds()
}

// mostRunning returns the peak number of concurrent requests at the instances. As
// callers are domainDelay away, an instance has a request from domainDelay after it
// was sent until domainDelay before the caller received its end.
func mostRunning(ran []sentRequest, p phase) float64 {
	type edge struct {
		at    float64
		delta int
	}
	var edges []edge
	oneWay := domainDelay.Seconds()
	for _, s := range ran {
		if s.end-s.at > 2*oneWay {
			edges = append(edges, edge{s.at + oneWay, 1}, edge{s.end - oneWay, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta))
	})
	running, most := 0, 0
	for _, e := range edges {
		running += e.delta
		if p.contains(e.at) {
			most = max(most, running)
		}
	}
	return float64(most)
}
