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
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
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

// harness is a simulated platform, one instance that answers operators' requests,
// and a directory for configuration files, on an in-memory network.
type harness struct {
	*WithT
	ctx    context.Context
	fabric *memnet.Fabric
	store  *platform.Platform
	dir    string
	wg     conc.WaitGroup

	// inForce is the configuration in force on the instance.
	inForce mirror.Set
}

// inBubble runs body with a new harness in a synctest bubble, in virtual time.
func inBubble(body func(h *harness)) {
	dir := GinkgoT().TempDir()
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := &harness{WithT: NewWithT(t), ctx: ctx, fabric: &memnet.Fabric{}, dir: dir}
		h.store = &platform.Platform{Address: platformAddress, Network: h.fabric.Network("a"), Seed: 1}
		h.wg.Go(func() { _ = h.store.Run(ctx) })
		l, err := h.fabric.Network("a").Listen(instanceAddress)
		h.Expect(err).NotTo(HaveOccurred())
		srv := &http.Server{Handler: h}
		h.wg.Go(func() { _ = srv.Serve(l) })
		synctest.Wait()
		body(h)
		cancel()
		srv.Close()
		h.wg.Wait()
		time.Sleep(network.DialTimeout)
	})
}

// ServeHTTP simulates the operators' listener of the instance.
func (h *harness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/burn" {
		t := burn.Tracker{Instance: "i-1"}
		_ = json.NewEncoder(w).Encode(t.Report())
		return
	}
	_ = json.NewEncoder(w).Encode(router.Status{Instance: "i-1", Domain: "a", Ready: true,
		Configuration: h.inForce.Summary(hbs.ObjectConfiguration)})
}

// registerInstances adds the instances to the platform's list. The instance with ID
// unreachable gets an address where nothing listens.
func (h *harness) registerInstances(ids ...hbs.InstanceID) {
	for _, id := range ids {
		i := hbs.Instance{ID: id, Domain: "a", PeerAddress: instanceAddress, OperatorAddress: instanceAddress}
		if id == "unreachable" {
			i.OperatorAddress = netip.MustParseAddrPort("10.0.0.9:80")
		}
		h.Expect(h.store.Put(hbs.ObjectInstance, string(id), i)).To(Succeed())
	}
}

// serveTLS starts a TLS listener of instance i-1 at 10.0.0.3:80 and lists it with
// that address in the platform. With mutual, clients need a certificate.
func (h *harness) serveTLS(keys *peer.TLS, mutual bool) {
	addr := netip.MustParseAddrPort("10.0.0.3:80")
	server := &peer.Server{Self: func() hbs.Instance { return hbs.Instance{ID: "i-1"} }, Objects: &mirror.Set{}, TLS: keys, Metrics: metrics.NewRegistry(), Log: zap.NewNop()}
	config, err := server.OperatorConfig(mutual)
	h.Expect(err).NotTo(HaveOccurred())
	l, err := h.fabric.Network("a").Listen(addr)
	h.Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: h, ErrorLog: zap.NewStdLog(zap.NewNop())}
	h.wg.Go(func() { _ = srv.Serve(tls.NewListener(l, config)) })
	context.AfterFunc(h.ctx, func() { srv.Close() })
	i := hbs.Instance{ID: "i-1", Domain: "a", PeerAddress: addr, OperatorAddress: addr}
	h.Expect(h.store.Put(hbs.ObjectInstance, "i-1", i)).To(Succeed())
}

// run runs hornbeamctl with the platform's address and returns its output, first
// that on Stdout, and its exit code.
func (h *harness) run(args ...string) (out string, exit console.Exit) {
	return h.runWithoutPlatform(append([]string{"--platform", platformAddress.String()}, args...)...)
}

// runWithoutPlatform is like run, but does not give the platform's address.
func (h *harness) runWithoutPlatform(args ...string) (out string, exit console.Exit) {
	var stdout, stderr bytes.Buffer
	cmd := console.Command{Args: args,
		Stdout: &stdout, Stderr: &stderr, Network: h.fabric.Network("a"), Knobs: knobs}
	exit = cmd.Run(h.ctx)
	return stdout.String() + stderr.String(), exit
}

// configFile writes a configuration file and returns its path. Each call overwrites
// the file of the previous one.
func (h *harness) configFile(text string) string { return h.writeFile("c.toml", text) }

func (h *harness) writeFile(name, text string) string {
	name = filepath.Join(h.dir, name)
	h.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

// oneWorkspace is a configuration of a single item.
const oneWorkspace = "[[workspaces]]\nid = \"w\"\nweight = 2.0\n"

var _ = Describe("hornbeamctl", func() {
	It("prints every error of a file with its line", func() {
		inBubble(func(h *harness) {
			name := h.configFile("[defaults]\nhedge.wait = \"11s\"\n[[workspaces]]\nid = 7\n")
			out, exit := h.run("check", name)
			h.Expect(exit).To(Equal(console.ExitInvalid))
			h.Expect(out).To(ContainSubstring(name + ":2: "))
			h.Expect(out).To(ContainSubstring(name + ":4: "))
		})
	})

	It("names an instance whose answer never ends", func() {
		inBubble(func(h *harness) {
			h.registerInstances("i-1", "unreachable")
			bad := &endless.Server{Address: netip.MustParseAddrPort("10.0.0.9:80"), Network: h.fabric.Network("a"),
				Response: endless.Body("200 OK", "", " "), Rate: endless.Rate{Bytes: 1 << 20, Interval: time.Millisecond}}
			h.wg.Go(func() { _ = bad.Run(h.ctx) })
			out, exit := h.run("status")
			h.Expect(exit).To(Equal(console.ExitPartial), out)
			h.Expect(out).To(ContainSubstring(network.ErrTooLong.Error()))
		})
	})

	It("says that the platform does not answer if the answer to a read is lost", func() {
		inBubble(func(h *harness) {
			bad := &endless.Server{Address: netip.MustParseAddrPort("10.0.0.9:80"), Network: h.fabric.Network("a"), Response: endless.NoHTTP, Rate: endless.Fast}
			h.wg.Go(func() { _ = bad.Run(h.ctx) })
			out, exit := h.runWithoutPlatform("--platform", bad.Address.String(), "status")
			h.Expect(exit).To(Equal(console.ExitPlatform), out)
		})
	})

	It("names silent instances apart from outdated ones when a configuration is not in force in time", func() {
		inBubble(func(h *harness) {
			h.registerInstances("i-1", "unreachable")
			out, exit := h.run("apply", "--wait", h.configFile(oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitWaitTimeout), out)
			h.Expect(out).To(ContainSubstring("on [i-1]; no answer from [unreachable]"))
		})
	})

	It("applies a file, prints it with get and shows differences with diff", func() {
		inBubble(func(h *harness) {
			out, exit := h.run("apply", h.configFile(oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitOK), out)
			out, exit = h.run("get")
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(out).To(HavePrefix("# revision: "))
			changed := strings.Replace(out, "weight = 2.0", "weight = 3.0", 1)
			out, exit = h.run("diff", h.configFile(changed))
			h.Expect(exit).To(Equal(console.ExitDiffers))
			h.Expect(out).To(ContainSubstring("update workspace.w"))
			_, exit = h.run("apply", h.configFile(changed))
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(string(h.store.Peek(hbs.ObjectConfiguration, "workspace.w"))).To(ContainSubstring(`"weight":3`))
		})
	})

	It("writes nothing when another operator changed the same item, and shows both versions", func() {
		inBubble(func(h *harness) {
			_, _ = h.run("apply", h.configFile(oneWorkspace))
			mine, _ := h.run("get")
			theirs := strings.Replace(mine, "weight = 2.0", "weight = 9.0", 1)
			_, exit := h.run("apply", h.configFile(theirs))
			h.Expect(exit).To(Equal(console.ExitOK))
			edited := strings.Replace(mine, "weight = 2.0", "weight = 3.0", 1) + "\n[[workspaces]]\nid = \"new\"\n"
			out, exit := h.run("apply", h.configFile(edited))
			h.Expect(exit).To(Equal(console.ExitConflict))
			h.Expect(out).To(And(ContainSubstring(`"weight":9`), ContainSubstring(`"weight":3`)))
			h.Expect(h.store.Peek(hbs.ObjectConfiguration, "workspace.new")).To(BeNil())
			_, exit = h.run("apply", h.configFile(oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitUsage))
			_, exit = h.run("apply", "--replace", h.configFile(oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitOK))
		})
	})

	It("retries a write whose answer was lost and reads back its outcome", func() {
		inBubble(func(h *harness) {
			h.store.LoseAnswers(1, 10*time.Millisecond)
			out, exit := h.run("apply", h.configFile(oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitOK), out)
		})
	})

	It("exits with the platform's code, or as uncertain, when the platform does not answer", func() {
		inBubble(func(h *harness) {
			h.store.Outage(time.Minute)
			_, exit := h.run("apply", h.configFile(oneWorkspace))
			h.Expect(exit).To(BeElementOf(console.ExitPlatform, console.ExitUncertain))
		})
	})

	It("waits until the configuration is in force, and names outdated instances", func() {
		inBubble(func(h *harness) {
			h.registerInstances("i-1")
			out, exit := h.run("apply", "--wait", "--limit", "3s", h.configFile(oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitWaitTimeout))
			h.Expect(out).To(ContainSubstring("i-1"))
			h.inForce.Adopt([]mirror.Update{{Kind: hbs.ObjectConfiguration, Name: "workspace.w", Revision: 2}})
			out, exit = h.run("apply", "--replace", "--wait", "--limit", "3s", h.configFile(oneWorkspace))
			h.Expect(exit).To(Equal(console.ExitOK), out)
		})
	})

	It("explains the effective value of a knob", func() {
		inBubble(func(h *harness) {
			text := oneWorkspace + "[[exceptions]]\nknob = \"hedge.wait\"\nvalue = \"2s\"\nworkspace = \"w\"\nreason = \"batch jobs\"\n"
			_, _ = h.run("apply", h.configFile(text))
			out, exit := h.run("explain", "hedge.wait", "--workspace", "w")
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(out).To(And(ContainSubstring("= 2s"), ContainSubstring("exception"), ContainSubstring("batch jobs")))
			out, _ = h.run("explain", "hedge.wait")
			h.Expect(out).To(And(ContainSubstring("= 100ms"), ContainSubstring("built_in")))
			_, exit = h.run("explain", "nothing")
			h.Expect(exit).To(Equal(console.ExitNotFound))
		})
	})

	It("explains the role of an engine, and reports a conflict between two operators' edits of it", func() {
		inBubble(func(h *harness) {
			standby := "\n[[standbys]]\nendpoint = \"e\"\nreason = \"spare\"\n"
			_, exit := h.run("check", h.configFile(strings.Replace(standby, "reason", "why", 1)))
			h.Expect(exit).To(Equal(console.ExitInvalid))
			_, _ = h.run("apply", h.configFile(oneWorkspace+standby))
			out, exit := h.run("role", "e")
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(out).To(And(ContainSubstring("endpoint e: standby"), ContainSubstring("spare")))
			out, _ = h.run("role", "other")
			h.Expect(out).To(ContainSubstring("endpoint other: serve"))

			current, _ := h.run("get")
			_, exit = h.run("apply", h.configFile(strings.Replace(current, "spare", "maintenance", 1)))
			h.Expect(exit).To(Equal(console.ExitOK))
			without, _, _ := strings.Cut(current, "[[standbys]]")
			out, exit = h.run("apply", h.configFile(without))
			h.Expect(exit).To(Equal(console.ExitConflict))
			h.Expect(out).To(And(ContainSubstring("delete standby.e"), ContainSubstring("maintenance")))
			out, _ = h.run("role", "e")
			h.Expect(out).To(ContainSubstring("maintenance"), "the first edit stays in force")
		})
	})

	It("drains and undrains an endpoint", func() {
		inBubble(func(h *harness) {
			_, exit := h.run("drain", "e", "--reason", "fan")
			h.Expect(exit).To(Equal(console.ExitNotFound))
			h.Expect(h.store.Put(hbs.ObjectEndpoint, "e", 1)).To(Succeed())
			_, exit = h.run("drain", "e", "--reason", "fan")
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(string(h.store.Peek(hbs.ObjectConfiguration, "drain.e"))).To(ContainSubstring("fan"))
			_, exit = h.run("drain", "e", "--reason", "fan")
			h.Expect(exit).To(Equal(console.ExitConflict))
			_, exit = h.run("undrain", "e")
			h.Expect(exit).To(Equal(console.ExitOK))
			h.Expect(h.store.Peek(hbs.ObjectConfiguration, "drain.e")).To(BeNil())
		})
	})

	DescribeTable("names instances that don't answer", func(command string) {
		inBubble(func(h *harness) {
			h.registerInstances("i-1", "unreachable")
			out, exit := h.run("--format", "json", command)
			h.Expect(exit).To(Equal(console.ExitPartial))
			h.Expect(out).To(ContainSubstring(`"missing": [`))
			h.Expect(out).To(ContainSubstring("unreachable"))
		})
	}, Entry("status", "status"), Entry("burn", "burn"))

	DescribeTable("queries instances by address while the platform does not answer", func(command string) {
		inBubble(func(h *harness) {
			h.store.Outage(time.Hour)
			one := "--instance=" + instanceAddress.String()
			out, exit := h.run(command, "--format", "json", one, one)
			h.Expect(exit).To(Equal(console.ExitOK), out)
			h.Expect(strings.Count(out, `"i-1"`)).To(Equal(1))
			out, exit = h.run(command, one, "--instance=10.0.0.9:80")
			h.Expect(exit).To(Equal(console.ExitPartial))
			h.Expect(out).To(ContainSubstring("no answer from [10.0.0.9:80]"))
			out, exit = h.run(command, "--instance=here")
			h.Expect(exit).To(Equal(console.ExitUsage))
			h.Expect(out).To(ContainSubstring("--instance"))
		})
	}, Entry("status", "status"), Entry("burn", "burn"))

	DescribeTable("queries instances over TLS and verifies the IDs in their certificates", func(mutual bool, want console.Exit, reason string, args ...string) {
		a, err := authority.New(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		other, err := authority.New(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		dir := filepath.Dir(a.File(authority.CertName))
		Expect(a.Issue(dir, "i-1", func(c *x509.Certificate) { c.URIs = append(c.URIs, peer.IdentityURI("hornbeamstage", "i-1")) })).To(Succeed())
		Expect(a.Issue(dir, "operator", func(*x509.Certificate) {})).To(Succeed())
		inBubble(func(h *harness) {
			h.registerInstances("i-1")
			h.serveTLS(&peer.TLS{Instance: "i-1", TrustDomain: "hornbeamstage", Certificate: a.File("i-1"), Key: a.File("i-1-key"), Authority: a.File(authority.CertName)}, mutual)
			files := strings.NewReplacer("OURS", a.File(authority.CertName), "THEIRS", other.File(authority.CertName), "CERT", a.File("operator"), "KEY", a.File("operator-key"))
			for i := range args {
				args[i] = files.Replace(args[i])
			}
			out, exit := h.run(append(args, "status")...)
			h.Expect(exit).To(Equal(want), out)
			h.Expect(out).To(ContainSubstring(reason))
		})
	},
		Entry("listed by the platform", false, console.ExitOK, "i-1", "--authority=OURS"),
		Entry("given by address", false, console.ExitOK, "i-1", "--authority=OURS", "--instance=10.0.0.3:80"),
		Entry("with a client certificate", true, console.ExitOK, "i-1", "--authority=OURS", "--certificate=CERT", "--key=KEY"),
		Entry("without the client certificate that the instance requires", true, console.ExitPartial, "the instance asks for a certificate, and none is given", "--authority=OURS"),
		Entry("over plain HTTP", false, console.ExitPartial, "answered 400"),
		Entry("with the certificate of another authority", false, console.ExitPartial, "unknown authority", "--authority=THEIRS"),
		Entry("of another trust domain", false, console.ExitPartial, "certificate names no instance, not i-1", "--authority=OURS", "--trust-domain=other"),
		Entry("with a certificate but no key", false, console.ExitUsage, "--certificate needs --key", "--authority=OURS", "--certificate=CERT"),
		Entry("with a file that is not there", false, console.ExitUsage, "no such file", "--authority=/none"),
	)

	It("prints the exit codes in its help, and the operators' page has them", func() {
		page, err := os.ReadFile("../docs/operations/nodes.md")
		Expect(err).NotTo(HaveOccurred())
		for _, e := range console.ExitCodes {
			Expect(string(page)).To(ContainSubstring(fmt.Sprintf("| %d | %s |", e.Exit, e.Text)))
		}
		inBubble(func(h *harness) {
			out, exit := h.run("--help")
			h.Expect(exit).To(Equal(console.ExitOK))
			for _, e := range console.ExitCodes {
				// The help wraps long lines.
				h.Expect(strings.Join(strings.Fields(out), " ")).To(ContainSubstring(e.Text))
			}
			_, exit = h.run("nonsense")
			h.Expect(exit).To(Equal(console.ExitUsage))
		})
	})
})
