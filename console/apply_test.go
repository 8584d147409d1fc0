package console_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/console"
)

// manyItems is above the calls that hornbeamctl sends without a pause, so that
// apply takes a while.
const manyItems = 150

// workspaces is a file of many items that all have the same weight.
func workspaces(weight int) string {
	var b strings.Builder
	for i := range manyItems {
		fmt.Fprintf(&b, "[[workspaces]]\nid = \"w%03d\"\nweight = %d.0\n", i, weight)
	}
	return b.String()
}

// applied is the JSON report of apply.
type applied struct {
	Written, Conflicts, Uncertain, Left []struct {
		Name     string
		Platform json.RawMessage
	}
}

func (b *bench) apply(file string, args ...string) (r applied, exit console.Exit) {
	out, exit := b.run(append([]string{"--format", "json", "apply", file}, args...)...)
	b.Expect(json.NewDecoder(strings.NewReader(out)).Decode(&r)).To(Succeed(), out)
	return r, exit
}

// accounted checks that the report names each of so many changes once, and that
// just those it calls written have the weight in the platform.
func (b *bench) accounted(r applied, changes, weight int) {
	b.Expect(len(r.Written) + len(r.Conflicts) + len(r.Uncertain) + len(r.Left)).To(Equal(changes))
	for _, ch := range r.Written {
		b.Expect(b.weight(ch.Name)).To(Equal(weight), ch.Name)
	}
	for _, ch := range append(r.Conflicts, r.Left...) {
		b.Expect(b.weight(ch.Name)).NotTo(Equal(weight), ch.Name)
	}
}

// weight returns the weight of a stored workspace, 0 when there is none.
func (b *bench) weight(name string) int {
	var w struct{ Weight float64 }
	_ = json.Unmarshal(b.store.Peek(hbs.ObjectConfiguration, name), &w)
	return int(w.Weight)
}

// halfWay calls f once the item in the middle is stored with the weight.
func (b *bench) halfWay(weight int, f func()) {
	b.wg.Go(func() {
		for b.weight("workspace.w120") != weight && b.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		f()
	})
}

// edited stores a configuration and returns a file that changes every item of it.
func (b *bench) edited(weight int) string {
	_, exit := b.run("apply", b.file(workspaces(1)))
	b.Expect(exit).To(Equal(console.ExitOK))
	seen, _ := b.run("get")
	return b.file(strings.ReplaceAll(seen, "weight = 1.0", fmt.Sprintf("weight = %d.0", weight)))
}

var _ = Describe("apply of many items", func() {
	It("tells what was written when the platform goes out half-way, and completes it when run again", func() {
		inBubble(func(b *bench) {
			name := b.edited(2)
			b.halfWay(2, func() { b.store.Outage(time.Minute) })
			r, exit := b.apply(name)
			b.Expect(exit).To(BeElementOf(console.ExitPlatform, console.ExitUncertain))
			b.Expect(len(r.Written)).To(BeNumerically(">", 100))
			b.Expect(r.Left).NotTo(BeEmpty())
			b.accounted(r, manyItems, 2)
			time.Sleep(time.Minute)
			again, exit := b.apply(name)
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(again.Written).To(HaveLen(manyItems - len(r.Written)))
			b.Expect(b.weight("workspace.w149")).To(Equal(2))
		})
	})

	It("goes on after lost answers half-way", func() {
		inBubble(func(b *bench) {
			name := b.edited(2)
			b.halfWay(2, func() { b.store.LoseAnswers(1, 100*time.Millisecond) })
			r, exit := b.apply(name)
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(r.Written).To(HaveLen(manyItems))
			b.accounted(r, manyItems, 2)
		})
	})

	It("settles lost answers to deletions half-way", func() {
		inBubble(func(b *bench) {
			b.edited(2)
			seen, _ := b.run("get")
			head, _, _ := strings.Cut(seen, "[[workspaces]]")
			b.wg.Go(func() {
				for b.store.Peek(hbs.ObjectConfiguration, "workspace.w120") != nil {
					time.Sleep(time.Millisecond)
				}
				b.store.LoseAnswers(1, 100*time.Millisecond)
			})
			r, exit := b.apply(b.file(head))
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(r.Written).To(HaveLen(manyItems))
			b.Expect(b.store.PeekAll(hbs.ObjectConfiguration)).To(BeEmpty())
		})
	})

	It("names the item whose answer stays lost as perhaps written, and completes it when run again", func() {
		inBubble(func(b *bench) {
			name := b.edited(2)
			b.halfWay(2, func() { b.store.LoseAnswers(1, time.Minute) })
			r, exit := b.apply(name)
			b.Expect(exit).To(Equal(console.ExitUncertain))
			b.Expect(r.Uncertain).To(HaveLen(1))
			b.accounted(r, manyItems, 2)
			time.Sleep(time.Minute)
			_, exit = b.apply(name)
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(b.weight("workspace.w149")).To(Equal(2))
		})
	})

	It("stops at a conflict half-way, shows the newer version and tells the rest", func() {
		inBubble(func(b *bench) {
			name := b.edited(2)
			b.halfWay(2, func() {
				b.Expect(b.store.Put(hbs.ObjectConfiguration, "workspace.w140", map[string]any{"id": "w140", "weight": 7})).To(Succeed())
			})
			r, exit := b.apply(name)
			b.Expect(exit).To(Equal(console.ExitConflict))
			b.Expect(r.Conflicts).To(HaveLen(1))
			b.Expect(string(r.Conflicts[0].Platform)).To(ContainSubstring(`7`))
			b.accounted(r, manyItems, 2)
			r, exit = b.apply(name)
			b.Expect(exit).To(Equal(console.ExitConflict), "a merge is needed")
			b.accounted(r, 10, 2)
			seen, _ := b.run("get")
			_, exit = b.apply(b.file(strings.ReplaceAll(seen, "weight = 1.0", "weight = 2.0")))
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(b.weight("workspace.w149")).To(Equal(2))
			b.Expect(b.weight("workspace.w140")).To(Equal(7))
		})
	})

	It("does not bring back an item that another operator deleted meanwhile", func() {
		inBubble(func(b *bench) {
			_, _ = b.run("apply", b.file("[[workspaces]]\nid = \"v\"\n"+first))
			seen, _ := b.run("get")
			without, _, _ := strings.Cut(seen, "[[workspaces]]\nid = 'w'")
			b.Expect(without).NotTo(Equal(seen))
			_, exit := b.run("apply", b.file(without))
			b.Expect(exit).To(Equal(console.ExitOK))
			r, exit := b.apply(b.file(seen + "[[workspaces]]\nid = \"new\"\n"))
			b.Expect(exit).To(Equal(console.ExitConflict))
			b.Expect(r.Conflicts).To(HaveLen(1))
			b.Expect(r.Conflicts[0].Name).To(Equal("workspace.w"))
			b.Expect(b.store.PeekAll(hbs.ObjectConfiguration)).To(HaveLen(1))
			now, _ := b.run("get")
			_, exit = b.run("apply", b.file(now+first))
			b.Expect(exit).To(Equal(console.ExitOK), "it may be made anew")
		})
	})

	It("lets each of two racing operators know exactly what is theirs", func() {
		inBubble(func(b *bench) {
			b.edited(2)
			seen, _ := b.run("get")
			var reports [2]applied
			var exits [2]console.Exit
			done := make(chan struct{})
			for i := range reports {
				name := b.fileAs(fmt.Sprint(i, ".toml"), strings.ReplaceAll(seen, "weight = 1.0", fmt.Sprintf("weight = %d.0", i+2)))
				b.wg.Go(func() {
					reports[i], exits[i] = b.apply(name)
					done <- struct{}{}
				})
			}
			<-done
			<-done
			b.Expect(exits).To(ContainElement(console.ExitConflict))
			written := 0
			for i, r := range reports {
				b.accounted(r, manyItems, i+2)
				written += len(r.Written)
			}
			b.Expect(written).To(BeNumerically(">", 0))
		})
	})
})

var _ = Describe("Names of endpoints", func() {
	const (
		model   = "[[models]]\nname = \"m\"\nweights = \"v1\"\n"
		standby = "[[standbys]]\nendpoint = \"e\"\nreason = \"spare\"\n"
		drain   = "[[drains]]\nendpoint = \"e\"\nreason = \"fan\"\n"
	)
	engine := hbs.Endpoint{ID: "e", Kind: hbs.KindEngine, Model: "m"}

	DescribeTable("are checked against the platform's list", func(text string, record *hbs.Endpoint, exit console.Exit, want string) {
		inBubble(func(b *bench) {
			if record != nil {
				b.Expect(b.store.Put(hbs.ObjectEndpoint, "e", record)).To(Succeed())
			}
			for _, command := range []string{"check", "apply"} {
				out, got := b.run(command, b.file(text))
				b.Expect(got).To(Equal(exit), out)
				b.Expect(out).To(ContainSubstring(want))
				b.Expect(strings.Contains(out, "warning")).To(Equal(strings.Contains(want, "warning")))
			}
			if exit == console.ExitFaults {
				b.Expect(b.store.PeekAll(hbs.ObjectConfiguration)).To(BeEmpty())
			}
		})
	},
		Entry("a standby of one that is there", model+standby, &engine, console.ExitOK, ""),
		Entry("a drain of one that is there", drain, &engine, console.ExitOK, ""),
		Entry("a standby of one that may come", model+standby, nil, console.ExitOK, `c.toml:5: warning: endpoint "e" is not in the platform's list`),
		Entry("a drain of one that may come", drain, nil, console.ExitOK, `c.toml:2: warning: endpoint "e" is not in the platform's list`),
		Entry("a standby of a plain service", model+standby, &hbs.Endpoint{ID: "e", Kind: hbs.KindService, Service: "s"}, console.ExitFaults, `c.toml:5: endpoint "e" is a plain service`),
		Entry("a standby of a model that nobody rolls out", standby, &engine, console.ExitFaults, `c.toml:2: endpoint "e" has model "m", which is not in the file`),
	)

	It("are not checked without the platform, which is said", func() {
		inBubble(func(b *bench) {
			out, exit := b.runAlone("check", b.file(drain))
			b.Expect(exit).To(Equal(console.ExitOK), out)
			b.Expect(out).To(ContainSubstring("names of 1 endpoints are not checked"))
		})
	})

	It("let nothing be written while they can't be checked", func() {
		inBubble(func(b *bench) {
			b.store.Outage(time.Minute)
			_, exit := b.run("check", b.file(drain))
			b.Expect(exit).To(Equal(console.ExitPlatform))
		})
	})

	It("are checked by role", func() {
		inBubble(func(b *bench) {
			out, _ := b.run("role", "e")
			b.Expect(out).To(ContainSubstring(`endpoint "e" is not in the platform's list`))
		})
	})
})
