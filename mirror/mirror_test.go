package mirror_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

var suite *testing.T

func TestMirror(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

func update(name string, rev hbs.Revision, deleted bool) mirror.Update {
	return mirror.Update{Kind: hbs.ObjectEndpoint, Name: name, Revision: rev, Deleted: deleted}
}

var _ = Describe("Set", func() {
	It("adopts only updates that supersede the last one (rules 1 and 2)", func() {
		var s mirror.Set
		Expect(s.Adopt([]mirror.Update{update("x", 5, false)})).To(HaveLen(1))
		Expect(s.Adopt([]mirror.Update{update("x", 4, false), update("x", 5, false), update("x", 4, true)})).To(BeEmpty())
		Expect(s.Adopt([]mirror.Update{update("x", 5, true)})).To(HaveLen(1))
		Expect(s.Adopt([]mirror.Update{update("x", 5, false)})).To(BeEmpty())
		Expect(s.List(hbs.ObjectEndpoint)).To(BeEmpty())
		Expect(s.Adopt([]mirror.Update{update("x", 6, false)})).To(HaveLen(1))
	})

	It("deletes objects that a listing lacks unless they are newer (rule 3)", func() {
		var s mirror.Set
		s.Adopt([]mirror.Update{update("old", 5, false), update("new", 9, false)})
		s.Replace(hbs.ObjectEndpoint, []hbs.Object{{Kind: hbs.ObjectEndpoint, Name: "listed", Revision: 6}}, 8)
		names := ""
		for _, u := range s.List(hbs.ObjectEndpoint) {
			names += u.Name + " "
		}
		Expect(names).To(Equal("listed new "))
	})

	It("drops a tombstone only after tombstoneTTL (rule 3)", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			var s mirror.Set
			s.Adopt([]mirror.Update{update("x", 5, true)})
			time.Sleep(59 * time.Minute)
			g.Expect(s.Adopt([]mirror.Update{update("x", 4, false)})).To(BeEmpty())
			time.Sleep(2 * time.Minute)
			g.Expect(s.ObjectRevisions(hbs.ObjectEndpoint)).To(BeEmpty())
		})
	})

	It("reaches the same state in any order and with any repetition (rules 1, 2, 4)", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) mirror.Update {
				rev := hbs.Revision(rapid.IntRange(1, 20).Draw(t, "rev"))
				// One revision belongs to one object.
				return update(fmt.Sprint(rev%3), rev, rapid.Bool().Draw(t, "deleted"))
			}), 1, 20).Draw(t, "updates")
			var a, b mirror.Set
			a.Adopt(updates)
			rng := rand.New(rand.NewPCG(1, uint64(len(updates))))
			for range 3 {
				rng.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
				b.Adopt(updates)
			}
			if fmt.Sprint(a.Summaries()) != fmt.Sprint(b.Summaries()) {
				t.Fatalf("%v differs from %v", a.Summaries(), b.Summaries())
			}
			if m := a.Missing(hbs.ObjectEndpoint, b.ObjectRevisions(hbs.ObjectEndpoint)); len(m) > 0 {
				t.Fatalf("second set lacks %v", m)
			}
		})
	})

	It("returns the updates that another set lacks (rule 4)", func() {
		var s mirror.Set
		s.Adopt([]mirror.Update{update("a", 1, false), update("b", 3, false), update("c", 4, true)})
		held := []mirror.ObjectRevision{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}}
		Expect(s.Missing(hbs.ObjectEndpoint, held)).To(HaveLen(2))
		Expect(s.Newer(hbs.ObjectEndpoint, 3)).To(HaveLen(1))
	})
})

var _ = Describe("Rank", func() {
	It("preserves the order of the others when one is removed", func() {
		ids := []hbs.InstanceID{"a", "b", "c", "d", "e"}
		all := mirror.Rank("k", ids)
		without := mirror.Rank("k", ids[1:])
		var remaining []hbs.InstanceID
		for _, id := range all {
			if id != "a" {
				remaining = append(remaining, id)
			}
		}
		Expect(without).To(Equal(remaining))
	})
})

// engine returns the update with the record of a live engine.
func engine(name string, rev hbs.Revision, region hbs.RegionName) mirror.Update {
	value, err := json.Marshal(hbs.Endpoint{ID: hbs.EndpointID(name), Kind: hbs.KindEngine, Domain: hbs.DomainName("d-" + region), Region: region,
		Address: netip.MustParseAddrPort("10.0.0.9:80"), State: hbs.StateLive, Model: "m", Slots: 1})
	if err != nil {
		panic(err)
	}
	return mirror.Update{Kind: hbs.ObjectEndpoint, Name: name, Revision: rev, Value: value}
}

func names(us []mirror.Update) (ns []string) {
	for _, u := range us {
		ns = append(ns, u.Name)
	}
	return ns
}

var _ = Describe("A set of one region", func() {
	regionKind := mirror.RegionKind("r")

	It("stores its region's endpoints; one that moves is deleted there and nowhere else (rule 5)", func() {
		part, whole := &mirror.Set{Region: "r", RegionOnly: true}, &mirror.Set{Region: "q"}
		for _, u := range []mirror.Update{engine("x", 1, "r"), engine("y", 2, "q"), engine("z", 3, "r"), engine("x", 4, "q")} {
			part.Adopt([]mirror.Update{u})
			whole.Adopt([]mirror.Update{u})
		}
		Expect(names(part.List(regionKind))).To(Equal([]string{"z"}))
		Expect(part.List(hbs.ObjectEndpoint)).To(BeEmpty())
		Expect(names(whole.List(hbs.ObjectEndpoint))).To(Equal([]string{"x", "y", "z"}))
		whole.Adopt(part.Missing(regionKind, nil))
		Expect(names(whole.List(mirror.RegionKind("q")))).To(Equal([]string{"x", "y"}))
		Expect(part.Adopt([]mirror.Update{engine("x", 1, "r")})).To(BeEmpty(), "the move is not reverted")
		Expect(part.Adopt([]mirror.Update{engine("x", 5, "r")})).To(HaveLen(1), "it may move back")
	})

	It("deletes endpoints that a listing lacks or has in another region", func() {
		part := &mirror.Set{Region: "r", RegionOnly: true}
		part.Adopt([]mirror.Update{engine("x", 1, "r"), engine("y", 2, "r"), engine("z", 3, "r")})
		var listed []hbs.Object
		for _, u := range []mirror.Update{engine("x", 1, "r"), engine("y", 4, "q")} {
			listed = append(listed, u.Object())
		}
		part.Replace(hbs.ObjectEndpoint, listed, 6)
		Expect(names(part.List(regionKind))).To(Equal([]string{"x"}))
	})

	It("reaches the same summary as another set, whichever updates each received and in whatever order", func() {
		rapid.Check(suite, func(t *rapid.T) {
			var all []mirror.Update
			for i := range rapid.IntRange(1, 12).Draw(t, "updates") {
				name := fmt.Sprintf("e-%d", rapid.IntRange(0, 3).Draw(t, "name"))
				u := engine(name, hbs.Revision(i+1), rapid.SampledFrom([]hbs.RegionName{"r", "q"}).Draw(t, "region"))
				if rapid.IntRange(0, 4).Draw(t, "deleted") == 0 {
					u.Deleted, u.Value = true, nil
				}
				all = append(all, u)
			}
			a, b := &mirror.Set{Region: "r", RegionOnly: true}, &mirror.Set{Region: "r", RegionOnly: rapid.Bool().Draw(t, "part")}
			for _, s := range []*mirror.Set{a, b} {
				for _, u := range rapid.Permutation(all).Draw(t, "order") {
					if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
						s.Adopt([]mirror.Update{u})
					}
				}
			}
			a.Adopt(b.Missing(regionKind, a.ObjectRevisions(regionKind)))
			b.Adopt(a.Missing(regionKind, b.ObjectRevisions(regionKind)))
			if a.Summary(regionKind) != b.Summary(regionKind) {
				t.Fatalf("summaries differ: %+v and %+v", a.Summary(regionKind), b.Summary(regionKind))
			}
		})
	})
})

var _ = Describe("Spares", func() {
	var listed []hbs.Object
	BeforeEach(func() {
		listed = nil
		for i := range 60 {
			region := hbs.RegionName(fmt.Sprintf("r-%d", i%3))
			u := engine(fmt.Sprintf("e-%02d", i), hbs.Revision(i+1), region)
			listed = append(listed, u.Object())
		}
	})
	selectSpares := func(s *mirror.Set, rev hbs.Revision) mirror.OtherRegions {
		_, err := s.ReplaceSpares(listed, rev, 4)
		Expect(err).NotTo(HaveOccurred())
		u, _ := s.Get(mirror.SparesKind(s.Region), "spares")
		e, err := mirror.DecodeSpares(u.Name, u.Value)
		Expect(err).NotTo(HaveOccurred())
		return e
	}

	It("are a few engines of each model from all domains of other regions, and the rest is counted (rule 6)", func() {
		e := selectSpares(&mirror.Set{Region: "r-0", RegionOnly: true}, 100)
		Expect(e.Spares).To(HaveLen(4))
		byDomain := map[hbs.DomainName]int{}
		for _, spare := range e.Spares {
			byDomain[spare.Value.Domain]++
		}
		Expect(byDomain).To(Equal(map[hbs.DomainName]int{"d-r-1": 2, "d-r-2": 2}))
		Expect(e.Engines).To(Equal(map[hbs.ModelName]int{"m": 36}))
	})

	It("do not change with other endpoints, and one that is removed is replaced", func() {
		s := &mirror.Set{Region: "r-0", RegionOnly: true}
		first := selectSpares(s, 100)
		listed[0].Revision = 101
		adopted, err := s.ReplaceSpares(listed, 102, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(adopted).To(BeEmpty())
		removed := first.Spares[0].Value.ID
		listed = slices.DeleteFunc(listed, func(o hbs.Object) bool { return o.Name == string(removed) })
		second := selectSpares(s, 103)
		Expect(second.Spares).To(HaveLen(4))
		for _, spare := range second.Spares {
			Expect(spare.Value.ID).NotTo(Equal(removed))
		}
	})

	It("are limited to 256", func() {
		for i := range 2000 {
			u := engine(fmt.Sprintf("x-%04d", i), hbs.Revision(i+1), "r-1")
			obj := u.Object()
			obj.Value = []byte(strings.Replace(string(obj.Value), `"m"`, fmt.Sprintf(`"m-%d"`, i), 1))
			listed = append(listed, obj)
		}
		Expect(selectSpares(&mirror.Set{Region: "r-0", RegionOnly: true}, 100).Spares).To(HaveLen(256))
	})
})
