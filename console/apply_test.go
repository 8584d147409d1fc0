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

// manyItems exceeds the number of writes that hornbeamctl's rate limit lets through
// at once, so that apply takes long enough to be disturbed half-way.
const manyItems = 150

// workspacesFile returns a configuration of manyItems workspaces with the same
// weight.
func workspacesFile(weight int) string {
	var b strings.Builder
	for i := range manyItems {
		fmt.Fprintf(&b, "[[workspaces]]\nid = \"w%03d\"\nweight = %d.0\n", i, weight)
	}
	return b.String()
}

// applyReport is the JSON report of apply.
type applyReport struct {
	Written, Conflicts, Uncertain, Left []struct {
		Name     string
		Platform json.RawMessage
	}
}

func (h *harness) apply(file string, args ...string) (r applyReport, exit console.Exit) {
	out, exit := h.run(append([]string{"--format", "json", "apply", file}, args...)...)
	h.Expect(json.NewDecoder(strings.NewReader(out)).Decode(&r)).To(Succeed(), out)
	return r, exit
}

// expectOutcome checks that the report lists as many changes as given, that the
// platform has the weight for those listed as written, and that it does not have it
// for those listed as conflicts or left.
func (h *harness) expectOutcome(r applyReport, changes, weight int) {
	h.Expect(len(r.Written) + len(r.Conflicts) + len(r.Uncertain) + len(r.Left)).To(Equal(changes))
	for _, ch := range r.Written {
		h.Expect(h.weight(ch.Name)).To(Equal(weight), ch.Name)
	}
	for _, ch := range append(r.Conflicts, r.Left...) {
		h.Expect(h.weight(ch.Name)).NotTo(Equal(weight), ch.Name)
	}
}

// weight returns the weight of a stored workspace, or 0 if there is none.
func (h *harness) weight(name string) int {
	var w struct{ Weight float64 }
	_ = json.Unmarshal(h.store.Peek(hbs.ObjectConfiguration, name), &w)
	return int(w.Weight)
}

// onceHalfWritten starts a goroutine that calls f after workspace w120 of manyItems
// is stored with the weight. Items are written in the order of their names.
func (h *harness) onceHalfWritten(weight int, f func()) {
	h.wg.Go(func() {
		for h.weight("workspace.w120") != weight && h.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		f()
	})
}

// storeAndEdit stores a configuration of manyItems items with weight 1 and returns a
// file that changes the weight of each.
func (h *harness) storeAndEdit(weight int) string {
	_, exit := h.run("apply", h.configFile(workspacesFile(1)))
	h.Expect(exit).To(Equal(console.ExitOK))
	current, _ := h.run("get")
	return h.configFile(strings.ReplaceAll(current, "weight = 1.0", fmt.Sprintf("weight = %d.0", weight)))
}

var _ = Describe("apply of many items", func() {
	It("reports what was written when the platform fails half-way, and writes the rest when run again", func() {
		inBubble(func(h *harness) {
			name := h.storeAndEdit(2)
			h.onceHalfWritten(2, func() { h.store.Outage(time.Minute) })
			r, exit := h.apply(name)
			h.Expect(exit).To(BeElementOf(console.ExitPlatform, console.ExitUncertain))
			h.Expect(len(r.Written)).To(BeNumerically(">", 100))
			h.Expect(r.Left).NotTo(BeEmpty())
			h.expectOutcome(r, manyItems, 2)
			time.Sleep(time.Minute)
			again, exit := h.apply(name)
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(again.Written).To(HaveLen(manyItems - len(r.Written)))
			h.Expect(h.weight("workspace.w149")).To(Equal(2))
		})
	})

	It("retries and continues after an answer is lost half-way", func() {
		inBubble(func(h *harness) {
			name := h.storeAndEdit(2)
			h.onceHalfWritten(2, func() { h.store.LoseAnswers(1, 100*time.Millisecond) })
			r, exit := h.apply(name)
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(r.Written).To(HaveLen(manyItems))
			h.expectOutcome(r, manyItems, 2)
		})
	})

	It("retries a deletion whose answer is lost half-way", func() {
		inBubble(func(h *harness) {
			h.storeAndEdit(2)
			current, _ := h.run("get")
			head, _, _ := strings.Cut(current, "[[workspaces]]")
			h.wg.Go(func() {
				for h.store.Peek(hbs.ObjectConfiguration, "workspace.w120") != nil {
					time.Sleep(time.Millisecond)
				}
				h.store.LoseAnswers(1, 100*time.Millisecond)
			})
			r, exit := h.apply(h.configFile(head))
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(r.Written).To(HaveLen(manyItems))
			h.Expect(h.store.PeekAll(hbs.ObjectConfiguration)).To(BeEmpty())
		})
	})

	It("reports an item whose retries get no answer as uncertain, and writes the rest when run again", func() {
		inBubble(func(h *harness) {
			name := h.storeAndEdit(2)
			h.onceHalfWritten(2, func() { h.store.LoseAnswers(1, time.Minute) })
			r, exit := h.apply(name)
			h.Expect(exit).To(Equal(console.ExitUncertain))
			h.Expect(r.Uncertain).To(HaveLen(1))
			h.expectOutcome(r, manyItems, 2)
			time.Sleep(time.Minute)
			_, exit = h.apply(name)
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(h.weight("workspace.w149")).To(Equal(2))
		})
	})

	It("stops at a conflict half-way, shows the newer version and lists the unwritten items", func() {
		inBubble(func(h *harness) {
			name := h.storeAndEdit(2)
			h.onceHalfWritten(2, func() {
				h.Expect(h.store.Put(hbs.ObjectConfiguration, "workspace.w140", map[string]any{"id": "w140", "weight": 7})).To(Succeed())
			})
			r, exit := h.apply(name)
			h.Expect(exit).To(Equal(console.ExitConflict))
			h.Expect(r.Conflicts).To(HaveLen(1))
			h.Expect(string(r.Conflicts[0].Platform)).To(ContainSubstring(`7`))
			h.expectOutcome(r, manyItems, 2)
			r, exit = h.apply(name)
			h.Expect(exit).To(Equal(console.ExitConflict), "the file is based on the old version of w140")
			h.expectOutcome(r, 10, 2)
			current, _ := h.run("get")
			_, exit = h.apply(h.configFile(strings.ReplaceAll(current, "weight = 1.0", "weight = 2.0")))
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(h.weight("workspace.w149")).To(Equal(2))
			h.Expect(h.weight("workspace.w140")).To(Equal(7))
		})
	})

	It("does not recreate an item that another operator has deleted since get", func() {
		inBubble(func(h *harness) {
			_, _ = h.run("apply", h.configFile("[[workspaces]]\nid = \"v\"\n"+oneWorkspace))
			current, _ := h.run("get")
			without, _, _ := strings.Cut(current, "[[workspaces]]\nid = 'w'")
			h.Expect(without).NotTo(Equal(current))
			_, exit := h.run("apply", h.configFile(without))
			h.Expect(exit).To(Equal(console.ExitOK))
			r, exit := h.apply(h.configFile(current + "[[workspaces]]\nid = \"new\"\n"))
			h.Expect(exit).To(Equal(console.ExitConflict))
			h.Expect(r.Conflicts).To(HaveLen(1))
			h.Expect(r.Conflicts[0].Name).To(Equal("workspace.w"))
			h.Expect(h.store.PeekAll(hbs.ObjectConfiguration)).To(HaveLen(1))
			now, _ := h.run("get")
			_, exit = h.run("apply", h.configFile(now+oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitOK), "a file made after the deletion may add the item again")
		})
	})

	It("reports to each of two concurrent operators exactly which items they wrote", func() {
		inBubble(func(h *harness) {
			h.storeAndEdit(2)
			current, _ := h.run("get")
			var reports [2]applyReport
			var exits [2]console.Exit
			done := make(chan struct{})
			for i := range reports {
				name := h.writeFile(fmt.Sprint(i, ".toml"), strings.ReplaceAll(current, "weight = 1.0", fmt.Sprintf("weight = %d.0", i+2)))
				h.wg.Go(func() {
					reports[i], exits[i] = h.apply(name)
					done <- struct{}{}
				})
			}
			<-done
			<-done
			h.Expect(exits).To(ContainElement(console.ExitConflict))
			written := 0
			for i, r := range reports {
				h.expectOutcome(r, manyItems, i+2)
				written += len(r.Written)
			}
			h.Expect(written).To(BeNumerically(">", 0))
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
		inBubble(func(h *harness) {
			if record != nil {
				h.Expect(h.store.Put(hbs.ObjectEndpoint, "e", record)).To(Succeed())
			}
			for _, command := range []string{"check", "apply"} {
				out, got := h.run(command, h.configFile(text))
				h.Expect(got).To(Equal(exit), out)
				h.Expect(out).To(ContainSubstring(want))
				h.Expect(strings.Contains(out, "warning")).To(Equal(strings.Contains(want, "warning")))
			}
			if exit == console.ExitInvalid {
				h.Expect(h.store.PeekAll(hbs.ObjectConfiguration)).To(BeEmpty())
			}
		})
	},
		Entry("a standby of an endpoint that is listed", model+standby, &engine, console.ExitOK, ""),
		Entry("a drain of an endpoint that is listed", drain, &engine, console.ExitOK, ""),
		Entry("a standby of an endpoint that is not listed", model+standby, nil, console.ExitOK, `c.toml:5: warning: endpoint "e" is not in the platform's list`),
		Entry("a drain of an endpoint that is not listed", drain, nil, console.ExitOK, `c.toml:2: warning: endpoint "e" is not in the platform's list`),
		Entry("a standby of a plain service", model+standby, &hbs.Endpoint{ID: "e", Kind: hbs.KindService, Service: "s"}, console.ExitInvalid, `c.toml:5: endpoint "e" is a plain service`),
		Entry("a standby of an engine whose model is not in the file", standby, &engine, console.ExitInvalid, `c.toml:2: endpoint "e" has model "m", which is not in the file`),
	)

	It("are not checked without the platform, with a warning", func() {
		inBubble(func(h *harness) {
			out, exit := h.runWithoutPlatform("check", h.configFile(drain))
			h.Expect(exit).To(Equal(console.ExitOK), out)
			h.Expect(out).To(ContainSubstring("names of 1 endpoints are not checked"))
		})
	})

	It("make check fail while the platform does not answer", func() {
		inBubble(func(h *harness) {
			h.store.Outage(time.Minute)
			_, exit := h.run("check", h.configFile(drain))
			h.Expect(exit).To(Equal(console.ExitPlatform))
		})
	})

	It("are checked by the role command", func() {
		inBubble(func(h *harness) {
			out, _ := h.run("role", "e")
			h.Expect(out).To(ContainSubstring(`endpoint "e" is not in the platform's list`))
		})
	})
})
