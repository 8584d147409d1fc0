package console_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
	"github.com/hornbeamstage/hornbeamstage/console"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/router"
	"github.com/hornbeamstage/hornbeamstage/standin/authority"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/platform"
)

var suite *testing.T

func TestConsole(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "console")
}

var (
	platformAddress = netip.MustParseAddrPort("10.0.0.1:80")
	instanceAddress = netip.MustParseAddrPort("10.0.0.2:80")
	knobs           = []hbs.Knob{{Key: "hedge.wait", Unit: hbs.UnitDuration, Default: 0.1, Max: 10, Title: "wait", Text: "text"}}
)

// bench is a platform, one instance that answers operators, and a directory
// for files.
type bench struct {
	*WithT
	ctx    context.Context
	fabric *memnet.Fabric
	store  *platform.Platform
	dir    string
	wg     conc.WaitGroup

	// held is what the instance has in force.
	held mirror.Set
}

func inBubble(body func(b *bench)) {
	dir := GinkgoT().TempDir()
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := &bench{WithT: NewWithT(t), ctx: ctx, fabric: &memnet.Fabric{}, dir: dir}
		b.store = &platform.Platform{Address: platformAddress, Network: b.fabric.Network("a"), Seed: 1}
		b.wg.Go(func() { _ = b.store.Run(ctx) })
		l, err := b.fabric.Network("a").Listen(instanceAddress)
		b.Expect(err).NotTo(HaveOccurred())
		srv := &http.Server{Handler: b}
		b.wg.Go(func() { _ = srv.Serve(l) })
		synctest.Wait()
		body(b)
		cancel()
		srv.Close()
		b.wg.Wait()
		time.Sleep(network.DialTimeout)
	})
}

// ServeHTTP answers as the operators' listener of an instance.
func (b *bench) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/burn" {
		t := burn.Tracker{Instance: "i-1"}
		_ = json.NewEncoder(w).Encode(t.Report())
		return
	}
	_ = json.NewEncoder(w).Encode(router.Status{Instance: "i-1", Domain: "a", Ready: true,
		Configuration: b.held.Summary(hbs.ObjectConfiguration)})
}

// instances lists the instance that answers and one that does not.
func (b *bench) instances(ids ...hbs.InstanceID) {
	for _, id := range ids {
		i := hbs.Instance{ID: id, Domain: "a", PeerAddress: instanceAddress, OperatorAddress: instanceAddress}
		if id == "silent" {
			i.OperatorAddress = netip.MustParseAddrPort("10.0.0.9:80")
		}
		b.Expect(b.store.Put(hbs.ObjectInstance, string(id), i)).To(Succeed())
	}
}

// serveTLS has the instance i-1 answer at another address, with keys.
func (b *bench) serveTLS(keys *peer.TLS, mutual bool) {
	addr := netip.MustParseAddrPort("10.0.0.3:80")
	server := &peer.Server{Self: func() hbs.Instance { return hbs.Instance{ID: "i-1"} }, Objects: &mirror.Set{}, TLS: keys, Metrics: metrics.NewRegistry(), Log: zap.NewNop()}
	config, err := server.OperatorConfig(mutual)
	b.Expect(err).NotTo(HaveOccurred())
	l, err := b.fabric.Network("a").Listen(addr)
	b.Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: b, ErrorLog: zap.NewStdLog(zap.NewNop())}
	b.wg.Go(func() { _ = srv.Serve(tls.NewListener(l, config)) })
	context.AfterFunc(b.ctx, func() { srv.Close() })
	i := hbs.Instance{ID: "i-1", Domain: "a", PeerAddress: addr, OperatorAddress: addr}
	b.Expect(b.store.Put(hbs.ObjectInstance, "i-1", i)).To(Succeed())
}

// run runs hornbeamctl and returns its output and exit code.
func (b *bench) run(args ...string) (out string, exit console.Exit) {
	return b.runAlone(append([]string{"--platform", platformAddress.String()}, args...)...)
}

// runAlone is run without the platform's address.
func (b *bench) runAlone(args ...string) (out string, exit console.Exit) {
	var stdout, stderr bytes.Buffer
	cmd := console.Command{Args: args,
		Stdout: &stdout, Stderr: &stderr, Network: b.fabric.Network("a"), Knobs: knobs}
	exit = cmd.Run(b.ctx)
	return stdout.String() + stderr.String(), exit
}

func (b *bench) file(text string) string { return b.fileAs("c.toml", text) }

func (b *bench) fileAs(name, text string) string {
	name = filepath.Join(b.dir, name)
	b.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

const first = "[[workspaces]]\nid = \"w\"\nweight = 2.0\n"

var _ = Describe("hornbeamctl", func() {
	It("prints every error of a file with its line", func() {
		inBubble(func(b *bench) {
			name := b.file("[defaults]\nhedge.wait = \"11s\"\n[[workspaces]]\nid = 7\n")
			out, exit := b.run("check", name)
			b.Expect(exit).To(Equal(console.ExitFaults))
			b.Expect(out).To(ContainSubstring(name + ":2: "))
			b.Expect(out).To(ContainSubstring(name + ":4: "))
		})
	})

	It("applies a file, gets it back and shows differences", func() {
		inBubble(func(b *bench) {
			out, exit := b.run("apply", b.file(first))
			b.Expect(exit).To(Equal(console.ExitOK), out)
			out, exit = b.run("get")
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(out).To(HavePrefix("# revision: "))
			changed := strings.Replace(out, "weight = 2.0", "weight = 3.0", 1)
			out, exit = b.run("diff", b.file(changed))
			b.Expect(exit).To(Equal(console.ExitDiffers))
			b.Expect(out).To(ContainSubstring("update workspace.w"))
			_, exit = b.run("apply", b.file(changed))
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(string(b.store.Peek(hbs.ObjectConfiguration, "workspace.w"))).To(ContainSubstring(`"weight":3`))
		})
	})

	It("writes nothing when another operator changed the same item, and shows both versions", func() {
		inBubble(func(b *bench) {
			_, _ = b.run("apply", b.file(first))
			mine, _ := b.run("get")
			theirs := strings.Replace(mine, "weight = 2.0", "weight = 9.0", 1)
			_, exit := b.run("apply", b.file(theirs))
			b.Expect(exit).To(Equal(console.ExitOK))
			edited := strings.Replace(mine, "weight = 2.0", "weight = 3.0", 1) + "\n[[workspaces]]\nid = \"new\"\n"
			out, exit := b.run("apply", b.file(edited))
			b.Expect(exit).To(Equal(console.ExitConflict))
			b.Expect(out).To(And(ContainSubstring(`"weight":9`), ContainSubstring(`"weight":3`)))
			b.Expect(b.store.Peek(hbs.ObjectConfiguration, "workspace.new")).To(BeNil())
			_, exit = b.run("apply", b.file(first))
			b.Expect(exit).To(Equal(console.ExitUsage))
			_, exit = b.run("apply", "--replace", b.file(first))
			b.Expect(exit).To(Equal(console.ExitOK))
		})
	})

	It("settles a write whose answer was lost by reading back", func() {
		inBubble(func(b *bench) {
			b.store.LoseAnswers(1, 10*time.Millisecond)
			out, exit := b.run("apply", b.file(first))
			b.Expect(exit).To(Equal(console.ExitOK), out)
		})
	})

	It("says that the platform is out", func() {
		inBubble(func(b *bench) {
			b.store.Outage(time.Minute)
			_, exit := b.run("apply", b.file(first))
			b.Expect(exit).To(BeElementOf(console.ExitPlatform, console.ExitUncertain))
		})
	})

	It("waits until the configuration is in force, and names who is behind", func() {
		inBubble(func(b *bench) {
			b.instances("i-1")
			out, exit := b.run("apply", "--wait", "--limit", "3s", b.file(first))
			b.Expect(exit).To(Equal(console.ExitWaited))
			b.Expect(out).To(ContainSubstring("i-1"))
			b.held.Adopt([]mirror.Update{{Kind: hbs.ObjectConfiguration, Name: "workspace.w", Revision: 2}})
			out, exit = b.run("apply", "--replace", "--wait", "--limit", "3s", b.file(first))
			b.Expect(exit).To(Equal(console.ExitOK), out)
		})
	})

	It("explains a value", func() {
		inBubble(func(b *bench) {
			text := first + "[[exceptions]]\nknob = \"hedge.wait\"\nvalue = \"2s\"\nworkspace = \"w\"\nreason = \"roofs\"\n"
			_, _ = b.run("apply", b.file(text))
			out, exit := b.run("explain", "hedge.wait", "--workspace", "w")
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(out).To(And(ContainSubstring("= 2s"), ContainSubstring("exception"), ContainSubstring("roofs")))
			out, _ = b.run("explain", "hedge.wait")
			b.Expect(out).To(And(ContainSubstring("= 100ms"), ContainSubstring("built_in")))
			_, exit = b.run("explain", "nothing")
			b.Expect(exit).To(Equal(console.ExitNotFound))
		})
	})

	It("explains the role of an engine, and shows two operators' edits of it", func() {
		inBubble(func(b *bench) {
			standby := "\n[[standbys]]\nendpoint = \"e\"\nreason = \"spare\"\n"
			_, exit := b.run("check", b.file(strings.Replace(standby, "reason", "why", 1)))
			b.Expect(exit).To(Equal(console.ExitFaults))
			_, _ = b.run("apply", b.file(first+standby))
			out, exit := b.run("role", "e")
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(out).To(And(ContainSubstring("endpoint e: standby"), ContainSubstring("spare")))
			out, _ = b.run("role", "other")
			b.Expect(out).To(ContainSubstring("endpoint other: serve"))

			seen, _ := b.run("get")
			_, exit = b.run("apply", b.file(strings.Replace(seen, "spare", "winter", 1)))
			b.Expect(exit).To(Equal(console.ExitOK))
			without, _, _ := strings.Cut(seen, "[[standbys]]")
			out, exit = b.run("apply", b.file(without))
			b.Expect(exit).To(Equal(console.ExitConflict))
			b.Expect(out).To(And(ContainSubstring("delete standby.e"), ContainSubstring("winter")))
			out, _ = b.run("role", "e")
			b.Expect(out).To(ContainSubstring("winter"), "the first edit holds")
		})
	})

	It("drains and undrains an endpoint", func() {
		inBubble(func(b *bench) {
			_, exit := b.run("drain", "e", "--reason", "fan")
			b.Expect(exit).To(Equal(console.ExitNotFound))
			b.Expect(b.store.Put(hbs.ObjectEndpoint, "e", 1)).To(Succeed())
			_, exit = b.run("drain", "e", "--reason", "fan")
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(string(b.store.Peek(hbs.ObjectConfiguration, "drain.e"))).To(ContainSubstring("fan"))
			_, exit = b.run("drain", "e", "--reason", "fan")
			b.Expect(exit).To(Equal(console.ExitConflict))
			_, exit = b.run("undrain", "e")
			b.Expect(exit).To(Equal(console.ExitOK))
			b.Expect(b.store.Peek(hbs.ObjectConfiguration, "drain.e")).To(BeNil())
		})
	})

	DescribeTable("names instances that don't answer", func(command string) {
		inBubble(func(b *bench) {
			b.instances("i-1", "silent")
			out, exit := b.run("--format", "json", command)
			b.Expect(exit).To(Equal(console.ExitPartial))
			b.Expect(out).To(ContainSubstring(`"missing": [`))
			b.Expect(out).To(ContainSubstring("silent"))
		})
	}, Entry("status", "status"), Entry("burn", "burn"))

	DescribeTable("asks instances by address while the platform is out", func(command string) {
		inBubble(func(b *bench) {
			b.store.Outage(time.Hour)
			one := "--instance=" + instanceAddress.String()
			out, exit := b.run(command, "--format", "json", one, one)
			b.Expect(exit).To(Equal(console.ExitOK), out)
			b.Expect(strings.Count(out, `"i-1"`)).To(Equal(1))
			out, exit = b.run(command, one, "--instance=10.0.0.9:80")
			b.Expect(exit).To(Equal(console.ExitPartial))
			b.Expect(out).To(ContainSubstring("no answer from [10.0.0.9:80]"))
			out, exit = b.run(command, "--instance=here")
			b.Expect(exit).To(Equal(console.ExitUsage))
			b.Expect(out).To(ContainSubstring("--instance"))
		})
	}, Entry("status", "status"), Entry("burn", "burn"))

	DescribeTable("asks instances over TLS and knows them by their certificates", func(mutual bool, want console.Exit, reason string, args ...string) {
		a, err := authority.New(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		other, err := authority.New(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		dir := filepath.Dir(a.File(authority.Name))
		Expect(a.Issue(dir, "i-1", func(c *x509.Certificate) { c.URIs = append(c.URIs, peer.IdentityURI("hornbeamstage", "i-1")) })).To(Succeed())
		Expect(a.Issue(dir, "operator", func(*x509.Certificate) {})).To(Succeed())
		inBubble(func(b *bench) {
			b.instances("i-1")
			b.serveTLS(&peer.TLS{Instance: "i-1", TrustDomain: "hornbeamstage", Certificate: a.File("i-1"), Key: a.File("i-1-key"), Authority: a.File(authority.Name)}, mutual)
			files := strings.NewReplacer("OURS", a.File(authority.Name), "THEIRS", other.File(authority.Name), "CERT", a.File("operator"), "KEY", a.File("operator-key"))
			for i := range args {
				args[i] = files.Replace(args[i])
			}
			out, exit := b.run(append(args, "status")...)
			b.Expect(exit).To(Equal(want), out)
			b.Expect(out).To(ContainSubstring(reason))
		})
	},
		Entry("by the platform's list", false, console.ExitOK, "i-1", "--authority=OURS"),
		Entry("by address", false, console.ExitOK, "i-1", "--authority=OURS", "--instance=10.0.0.3:80"),
		Entry("with a certificate", true, console.ExitOK, "i-1", "--authority=OURS", "--certificate=CERT", "--key=KEY"),
		Entry("without the certificate it asks for", true, console.ExitPartial, "the instance asks for a certificate, and none is given", "--authority=OURS"),
		Entry("in plain text", false, console.ExitPartial, "answered 400"),
		Entry("of another authority", false, console.ExitPartial, "unknown authority", "--authority=THEIRS"),
		Entry("of another trust domain", false, console.ExitPartial, "certificate names no instance, not i-1", "--authority=OURS", "--trust-domain=other"),
		Entry("with half of a key", false, console.ExitUsage, "--certificate needs --key", "--authority=OURS", "--certificate=CERT"),
		Entry("with a file that is not there", false, console.ExitUsage, "no such file", "--authority=/none"),
	)

	It("prints the exit codes in its help, and the operators' page has them", func() {
		page, err := os.ReadFile("../docs/operations/nodes.md")
		Expect(err).NotTo(HaveOccurred())
		for _, e := range console.Exits {
			Expect(string(page)).To(ContainSubstring(fmt.Sprintf("| %d | %s |", e.Exit, e.Text)))
		}
		inBubble(func(b *bench) {
			out, exit := b.run("--help")
			b.Expect(exit).To(Equal(console.ExitOK))
			for _, e := range console.Exits {
				// The help wraps long lines.
				b.Expect(strings.Join(strings.Fields(out), " ")).To(ContainSubstring(e.Text))
			}
			_, exit = b.run("nonsense")
			b.Expect(exit).To(Equal(console.ExitUsage))
		})
	})
})
