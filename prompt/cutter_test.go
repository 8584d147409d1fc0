package prompt_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/prompt"
)

func TestPrompt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prompt")
}

var salt = prompt.Salt{Workspace: "bakery", Model: "fitting", Weights: "w1"}

func text(seed string, tokens int) string {
	return strings.Repeat(seed, tokens*prompt.BytesPerToken/len(seed)+1)[:tokens*prompt.BytesPerToken]
}

// shared returns the number of leading levels that a and b have in common.
func shared(a, b []hbs.Level) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

var _ = Describe("Cutter", func() {
	c := prompt.Cutter{}

	DescribeTable("gives no common keys to different salts (rule 1)", func(other prompt.Salt) {
		m := []prompt.Message{{Role: "system", Text: text("code ", 5000)}}
		keys := map[hbs.LevelKey]bool{}
		for _, l := range c.Cut(salt, m) {
			keys[l.Key] = true
		}
		for _, l := range c.Cut(other, m) {
			Expect(keys).NotTo(HaveKey(l.Key))
		}
		Expect(other.CacheSalt()).NotTo(Equal(salt.CacheSalt()))
	},
		Entry("workspace", prompt.Salt{Workspace: "roaster", Model: "fitting", Weights: "w1"}),
		Entry("model", prompt.Salt{Workspace: "bakery", Model: "note", Weights: "w1"}),
		Entry("adapter", prompt.Salt{Workspace: "bakery", Model: "fitting", Adapter: "a", Weights: "w1"}),
		Entry("weights", prompt.Salt{Workspace: "bakery", Model: "fitting", Weights: "w2"}),
		Entry("fields with the same concatenation", prompt.Salt{Workspace: "bakeryf", Model: "itting", Weights: "w1"}),
	)

	It("gives different keys to lists of messages with the same concatenated text (rule 1)", func() {
		a := c.Cut(salt, []prompt.Message{{Role: "user", Text: "ab"}, {Role: "user", Text: "c"}})
		b := c.Cut(salt, []prompt.Message{{Role: "user", Text: "a"}, {Role: "user", Text: "bc"}})
		Expect(a[len(a)-1].Key).NotTo(Equal(b[len(b)-1].Key))
	})

	It("shares the levels of a shared system message and document", func() {
		head := []prompt.Message{{Role: "system", Text: text("rule ", 800)}, {Role: "user", Text: text("spec ", 3000)}}
		a := c.Cut(salt, append(head[:2:2], prompt.Message{Role: "user", Text: text("loft? ", 50)}))
		b := c.Cut(salt, append(head[:2:2], prompt.Message{Role: "user", Text: text("allergy? ", 60)}))
		n := shared(a, b)
		Expect(a[n-1].Tokens).To(BeNumerically(">=", 3800))
	})

	It("bounds the levels of a long conversation and of a long text (rules 4 and 5)", func() {
		var turns []prompt.Message
		for range 2000 {
			turns = append(turns, prompt.Message{Role: "user", Text: text("turn ", 100)})
		}
		Expect(len(c.Cut(salt, turns))).To(BeNumerically("<=", prompt.DefaultMaxLevels))
		levels := c.Cut(salt, []prompt.Message{{Role: "user", Text: text("long ", 1_000_000)}})
		Expect(len(levels)).To(BeNumerically("<=", prompt.DefaultMaxLevels))
		Expect(levels[len(levels)-1].Tokens).To(BeNumerically(">=", 1_000_000))
	})

	It("shares the levels of a shared prefix, which grow and are limited in number (rules 2 to 5)", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := rapid.StringN(0, 4000, 9000)
			role := rapid.SampledFrom([]string{"system", "user"})
			message := rapid.Custom(func(t *rapid.T) prompt.Message {
				return prompt.Message{Role: role.Draw(t, "role"), Text: text.Draw(t, "text")}
			})
			head := rapid.SliceOfN(message, 0, 5).Draw(t, "head")
			tail := rapid.SliceOfN(message, 1, 3).Draw(t, "tail")
			short := prompt.Cutter{BlockTokens: 16, MinTokens: 4}
			a := short.Cut(salt, head)
			b := short.Cut(salt, append(head[:len(head):len(head)], tail...))
			check(t, a)
			check(t, b)
			// Only the level that rule 5 adds at the end of a may be missing in b.
			if shared(a, b) < len(a)-1 {
				t.Fatalf("shared %d of %d levels", shared(a, b), len(a))
			}
		})
	})
})

// check fails t if the number of levels is out of bounds or their lengths don't grow.
func check(t *rapid.T, levels []hbs.Level) {
	if len(levels) < 1 || len(levels) > prompt.DefaultMaxLevels {
		t.Fatalf("%d levels", len(levels))
	}
	for i := 1; i < len(levels); i++ {
		if levels[i].Tokens <= levels[i-1].Tokens {
			t.Fatalf("level %d does not grow: %v", i, levels)
		}
	}
}

func FuzzCut(f *testing.F) {
	f.Add("system text", "question", uint16(3))
	f.Fuzz(func(t *testing.T, a, b string, at uint16) {
		c := prompt.Cutter{BlockTokens: 2, MinTokens: 1, MaxLevels: 16}
		whole := c.Cut(salt, []prompt.Message{{Role: "user", Text: a}, {Role: "user", Text: b}})
		if len(whole) < 1 || len(whole) > 16 {
			t.Fatalf("%d levels", len(whole))
		}
		// A change of one bit in a must change the last key.
		if len(a) > 0 {
			raw := []byte(a)
			raw[int(at)%len(raw)] ^= 1
			other := c.Cut(salt, []prompt.Message{{Role: "user", Text: string(raw)}, {Role: "user", Text: b}})
			if other[len(other)-1].Key == whole[len(whole)-1].Key {
				t.Fatal("two prompts share the last key")
			}
		}
	})
}

func BenchmarkCut100kTokens(b *testing.B) {
	m := []prompt.Message{{Role: "system", Text: text("rule ", 2000)}, {Role: "user", Text: text("spec ", 98_000)}}
	b.ReportAllocs()
	for b.Loop() {
		prompt.Cutter{}.Cut(salt, m)
	}
}
