package config_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// suite is the T of the suite, which specs pass to synctest.Test.
var suite *testing.T

func TestConfig(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var knobs = []hbs.Knob{
	{Key: "hedge.budget", Unit: hbs.UnitShare, Default: 0.02, Max: 1},
	{Key: "hedge.wait", Unit: hbs.UnitDuration, Default: 0.1, Max: 10},
	{Key: "hedge.on", Unit: hbs.UnitSwitch, Default: 1, Max: 1},
}

func readTestdata(name string) []byte {
	data, err := os.ReadFile("testdata/" + name)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func goodConfig() *config.Config {
	c, err := config.Decode("good.toml", readTestdata("good.toml"), knobs)
	Expect(err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("Decode", func() {
	It("reports every error of a file with its line", func() {
		_, err := config.Decode("bad.toml", readTestdata("bad.toml"), knobs)
		var faults *config.FaultsError
		Expect(errors.As(err, &faults)).To(BeTrue())
		var lines []int
		for _, f := range faults.Faults {
			lines = append(lines, f.Line)
		}
		Expect(lines).To(Equal([]int{2, 3, 4, 6, 8, 9, 13, 14, 15, 18, 19, 20, 22, 24, 29, 29, 29, 31, 33, 38, 40, 41, 42}), err.Error())
		Expect(err.Error()).To(ContainSubstring("bad.toml:2: defaults.hedge.budget: value 3 is outside 0 to 1 (share)\n"))
	})

	It("says so if it does not report all errors of a file", func() {
		var text strings.Builder
		for i := range 150 {
			fmt.Fprintf(&text, "line %d\n", i)
		}
		_, err := config.Decode("worse.toml", []byte(text.String()), knobs)
		Expect(err).To(MatchError(ContainSubstring("worse.toml:100: ")))
		Expect(err).To(MatchError(ContainSubstring("errors after the first 100 invalid lines are not reported")))
	})

	It("decodes what Encode writes", func() {
		data, err := goodConfig().Encode(knobs)
		Expect(err).NotTo(HaveOccurred())
		again, err := config.Decode("again.toml", data, knobs)
		Expect(err).NotTo(HaveOccurred(), string(data))
		Expect(again).To(Equal(goodConfig()))
	})

	It("restores a configuration from its platform items", func() {
		items, err := goodConfig().Items()
		Expect(err).NotTo(HaveOccurred())
		again, faults := config.FromItems(items, knobs)
		Expect(faults).To(BeEmpty())
		Expect(again).To(Equal(goodConfig()))
	})

	It("skips invalid items and uses the others", func() {
		items, _ := goodConfig().Items()
		items = append(items, hbs.Object{Name: "workspace.x", Value: []byte(`{"id":"x","weight":-1}`)},
			hbs.Object{Name: "model.y", Value: []byte(`{`)})
		again, faults := config.FromItems(items, knobs)
		Expect(faults).To(HaveLen(2))
		Expect(again).To(Equal(goodConfig()))
	})
})

var _ = Describe("Service", func() {
	DescribeTable("determines the class of a request", func(method, path string, class hbs.RouteClass) {
		Expect(goodConfig().Services[0].Class(method, path)).To(Equal(class))
	},
		Entry("first match", "GET", "/status/7", hbs.ClassRepeatable),
		Entry("pattern", "POST", "/visits/7", hbs.ClassOnce),
		Entry("POST without a matching route", "POST", "/other", hbs.ClassOnce),
		Entry("HEAD without a matching route", "HEAD", "/other", hbs.ClassRepeatable),
	)
})

// adopt adds the items of c to set with consecutive revisions from rev.
func adopt(set *mirror.Set, c *config.Config, rev hbs.Revision) {
	items, err := c.Items()
	Expect(err).NotTo(HaveOccurred())
	for i, obj := range items {
		obj.Revision = rev + hbs.Revision(i)
		set.Adopt([]mirror.Update{mirror.NewUpdate(obj)})
	}
}

func newStore(set *mirror.Set) *config.Store {
	return &config.Store{Objects: set, Knobs: knobs, Metrics: metrics.NewRegistry(), Log: zap.NewNop()}
}

var _ = Describe("Store", func() {
	It("prefers the most specific exception, then the default", func() {
		c := goodConfig()
		c.Exceptions = []config.Exception{
			{Knob: "hedge.wait", Value: 1, Reason: "r"},
			{Knob: "hedge.wait", Value: 2, Reason: "r", Domain: "d"},
			{Knob: "hedge.wait", Value: 3, Reason: "r", Model: "lab/fitting"},
			{Knob: "hedge.wait", Value: 4, Reason: "r", Model: "lab/fitting", Domain: "d"},
			{Knob: "hedge.wait", Value: 5, Reason: "r", Workspace: "bakery"},
		}
		set := &mirror.Set{}
		adopt(set, c, 1)
		s := newStore(set)
		at := func(scope hbs.Scope) float64 { return s.Number("hedge.wait", scope) }
		Expect(at(hbs.Scope{})).To(Equal(1.0))
		Expect(at(hbs.Scope{Domain: "d"})).To(Equal(2.0))
		Expect(at(hbs.Scope{Model: "lab/fitting"})).To(Equal(3.0))
		Expect(at(hbs.Scope{Model: "lab/fitting", Domain: "d"})).To(Equal(4.0))
		Expect(at(hbs.Scope{Model: "lab/fitting", Domain: "d", Workspace: "bakery"})).To(Equal(4.0))
		Expect(at(hbs.Scope{Model: "lab/fitting", Workspace: "bakery"})).To(Equal(5.0))
		Expect(s.Number("hedge.budget", hbs.Scope{})).To(Equal(0.05))
		Expect(s.Number("hedge.on", hbs.Scope{})).To(Equal(1.0))
		e, known := s.Explain("hedge.budget", hbs.Scope{})
		Expect(known).To(BeTrue())
		Expect(e.Layer).To(Equal(config.LayerDefault))
	})

	It("ignores an exception from its expiry on", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			c := &config.Config{Exceptions: []config.Exception{
				{Knob: "hedge.wait", Value: 2, Reason: "r", Expires: time.Now().Add(time.Minute)}}}
			set := &mirror.Set{}
			adopt(set, c, 1)
			s := newStore(set)
			g.Expect(s.Duration("hedge.wait", hbs.Scope{})).To(Equal(2 * time.Second))
			time.Sleep(time.Minute)
			g.Expect(s.Duration("hedge.wait", hbs.Scope{})).To(Equal(100 * time.Millisecond))
		})
	})

	It("adopts items in any order and ignores older revisions", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			set := &mirror.Set{}
			s := newStore(set)
			s.Floor = &config.Config{Models: []config.Model{{Name: "floor"}}}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() { done <- s.Run(ctx) }()
			synctest.Wait()
			g.Expect(s.UsesFloor()).To(BeTrue())
			put := func(name, weights string, rev hbs.Revision) {
				value := `{"name":"` + name + `","weights":"` + weights + `","loads_at_once":1}`
				set.Adopt([]mirror.Update{{Kind: hbs.ObjectConfiguration, Name: "model." + name, Revision: rev, Value: []byte(value)}})
				synctest.Wait()
			}
			put("m", "new", 9)
			put("m", "old", 7)
			put("n", "late", 8)
			g.Expect(s.Revision()).To(BeEquivalentTo(9))
			g.Expect(s.Config().Model("m").Weights).To(BeEquivalentTo("new"))
			g.Expect(s.Config().Model("n").Weights).To(BeEquivalentTo("late"))
			g.Expect(s.Config().Model("floor")).To(BeNil())
			cancel()
			<-done
		})
	})

	It("finds the workspace of a key by its hash", func() {
		set := &mirror.Set{}
		adopt(set, goodConfig(), 1)
		s := newStore(set)
		id, ok := s.Workspace("key")
		Expect(ok).To(BeFalse(), string(id))
		c := goodConfig()
		c.Workspaces[0].KeyHashes = append(c.Workspaces[0].KeyHashes, config.HashKey("key"))
		adopt(set, c, 100)
		id, ok = newStore(set).Workspace("key")
		Expect(ok).To(BeTrue())
		Expect(id).To(BeEquivalentTo("bakery"))
	})
})

func FuzzDecode(f *testing.F) {
	for _, name := range []string{"good.toml", "bad.toml"} {
		data, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := config.Decode("f", data, knobs)
		if err != nil {
			return
		}
		text, err := c.Encode(knobs)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Decode("g", text, knobs); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
	})
}

func FuzzFromItems(f *testing.F) {
	items, err := goodItems()
	if err != nil {
		f.Fatal(err)
	}
	for _, obj := range items {
		f.Add(obj.Name, []byte(obj.Value))
	}
	f.Fuzz(func(_ *testing.T, name string, value []byte) {
		c, _ := config.FromItems([]hbs.Object{{Name: name, Value: value}}, knobs)
		_ = c.Check(knobs)
	})
}

// goodItems returns the items of good.toml. Unlike goodConfig it can be called
// outside a spec, where Expect does not work.
func goodItems() ([]hbs.Object, error) {
	data, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		return nil, err
	}
	c, err := config.Decode("good.toml", data, knobs)
	if err != nil {
		return nil, err
	}
	return c.Items()
}
