package release

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// minShare is the share of a service's slots from which a version is given streams, if
	// others serve.
	minShare = 1.0 / 8
	// maxSkew is the ratio between a version's share of the slots and that of the streams
	// up to which the record stays.
	maxSkew = 2
)

// share is a version's part of the new streams.
type share struct {
	// Version is not empty.
	Version hbs.SoftwareVersion `json:"version"`
	// Weight is positive.
	Weight int `json:"weight"`
}

// shares divides new streams between versions by a hash of their keys. No version occurs
// twice.
type shares []share

// streamKey returns the key of the stream that req begins or resumes: the parts of its
// prompt that other requests share, so that they are cached at endpoints of one version, or
// the ID with which it began where there are none. A caller that resumes a stream repeats
// its request. The key is empty if that ID isn't known.
func streamKey(req *hbs.Request) string {
	if len(req.Parts) == 0 {
		return string(req.StreamID())
	}
	var key strings.Builder
	for _, p := range req.Parts {
		key.WriteString(string(p))
		key.WriteByte(',')
	}
	return key.String()
}

func (s shares) validate() error {
	seen := map[hbs.SoftwareVersion]bool{}
	for _, p := range s {
		if p.Version == "" || p.Weight <= 0 || seen[p.Version] {
			return errors.Newf("share %d of version %q", p.Weight, p.Version)
		}
		seen[p.Version] = true
	}
	if len(s) == 0 {
		return errors.New("no shares")
	}
	return nil
}

// of returns the version of the stream that req begins or resumes, "" if there are no shares.
// Few streams change their version when the shares change little.
func (s shares) of(req *hbs.Request) hbs.SoftwareVersion {
	switch len(s) {
	case 0:
		return ""
	case 1:
		return s[0].Version
	}
	left := float64(xxhash.Sum64String(streamKey(req))) / (1 << 64) * float64(s.total())
	for _, p := range s {
		if left -= float64(p.Weight); left < 0 {
			return p.Version
		}
	}
	return s[len(s)-1].Version
}

// settled returns the version of a stream that can only have begun by these shares, "" if
// its key is empty and more than one version has a share.
func (s shares) settled(req *hbs.Request) hbs.SoftwareVersion {
	if len(s) > 1 && streamKey(req) == "" {
		return ""
	}
	return s.of(req)
}

// total returns the sum of the weights.
func (s shares) total() (n int) {
	for _, p := range s {
		n += p.Weight
	}
	return n
}

// weight returns the weight of a version, 0 if it has no share.
func (s shares) weight(v hbs.SoftwareVersion) int {
	for _, p := range s {
		if p.Version == v {
			return p.Weight
		}
	}
	return 0
}

// versionSlots has the slots of a service's endpoints by their version.
type versionSlots map[hbs.SoftwareVersion]int

// slotsByService returns the slots of the endpoints that don't leave. Endpoints without a
// version don't count.
func slotsByService(r *hbs.Roster) map[hbs.ServiceName]versionSlots {
	all := map[hbs.ServiceName]versionSlots{}
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		if e.State == hbs.StateLeaving || e.Software == "" {
			continue
		}
		if all[e.Service] == nil {
			all[e.Service] = versionSlots{}
		}
		all[e.Service][e.Software] += e.Slots
	}
	return all
}

func (s versionSlots) total() (n int) {
	for _, m := range s {
		n += m
	}
	return n
}

// shares returns the shares by slots, without versions below minShare.
func (s versionSlots) shares() (found shares) {
	total := float64(s.total())
	for v, n := range s {
		if n > 0 && (float64(n) >= minShare*total || len(s) == 1) {
			found = append(found, share{v, n})
		}
	}
	if len(found) == 0 && total > 0 {
		for v, n := range s {
			found = append(found, share{v, n})
		}
	}
	slices.SortFunc(found, func(a, b share) int { return strings.Compare(string(a.Version), string(b.Version)) })
	return found
}

// lacks reports whether a version that has a share has no slots.
func (s versionSlots) lacks(have shares) bool {
	return slices.ContainsFunc(have, func(p share) bool { return s[p.Version] == 0 })
}

// skewed reports whether a version's share of the streams differs from that of the slots by
// more than maxSkew.
func (s versionSlots) skewed(have shares) bool {
	weights, slots := have.total(), float64(s.total())
	for v, n := range s {
		want, is := float64(n)/slots, float64(have.weight(v))/float64(weights)
		if is == 0 && want < minShare {
			continue
		}
		if want > maxSkew*is || is > maxSkew*want {
			return true
		}
	}
	return false
}
