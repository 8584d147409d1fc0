package replay

import (
	"cmp"
	"math"
	"slices"
)

// rateUse is in requests a second.
func rateUse(own []sending, limit float64) limitUse {
	ran, ideal := admitted(own), oneBucket(own, limit)
	return func(p phase) use {
		rate := ratePer(ran, p)
		return use{used: rate, usable: ratePer(ideal, p), most: rate}
	}
}

func admitted(own []sending) []sending {
	return slices.DeleteFunc(slices.Clone(own), func(s sending) bool { return !s.admitted() })
}

func ratePer(ran []sending, p phase) float64 {
	n := 0.0
	for i := range ran {
		if p.holds(ran[i].at) {
			n++
		}
	}
	return n / p.seconds()
}

// burstSeconds is the time of a rate that one bucket for the whole fleet holds,
// beside one request.
const burstSeconds = 0.25

// oneBucket returns what one token bucket for the whole fleet would have
// admitted.
func oneBucket(own []sending, limit float64) (out []sending) {
	size := 1 + math.Ceil(limit*burstSeconds)
	tokens, last := size, 0.0
	for _, s := range own {
		tokens = min(size, tokens+(s.at-last)*limit)
		last = s.at
		if tokens >= 1 {
			tokens--
			out = append(out, s)
		}
	}
	return out
}

// concurrencyUse is in running requests.
func concurrencyUse(own []sending, limit int) limitUse {
	ran, ideal := admitted(own), oneCounter(own, limit)
	return func(p phase) use {
		return use{used: meanRunning(ran, p), usable: meanRunning(ideal, p), most: mostRunning(ran, p)}
	}
}

// oneCounter returns what one counter for the whole fleet would have admitted.
// What was refused would have run as long as the mean of the others.
func oneCounter(own []sending, limit int) (out []sending) {
	sum, n := 0.0, 0.0
	for i := range own {
		if own[i].admitted() {
			sum += own[i].end - own[i].at
			n++
		}
	}
	running := []float64{}
	for _, s := range own {
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

func meanRunning(ran []sending, p phase) (mean float64) {
	for _, s := range ran {
		mean += max(0, min(s.end, p.to)-max(s.at, p.from))
	}
	return mean / p.seconds()
}

// mostRunning counts a request from when it can be known to an instance until
// its end can be: callers are domainDelay away.
func mostRunning(ran []sending, p phase) float64 {
	type edge struct {
		at    float64
		delta int
	}
	var edges []edge
	way := domainDelay.Seconds()
	for _, s := range ran {
		if s.end-s.at > 2*way {
			edges = append(edges, edge{s.at + way, 1}, edge{s.end - way, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta))
	})
	running, most := 0, 0
	for _, e := range edges {
		running += e.delta
		if p.holds(e.at) {
			most = max(most, running)
		}
	}
	return float64(most)
}
