package settings_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/settings"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const page = "../docs/settings.md"

const minimal = `
[instance]
id = "a1"
domain = "a"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
`

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var _ = Describe("Decode", func() {
	It("sets defaults", func() {
		s, err := settings.Decode([]byte(minimal))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Duration(s.Platform.Timeout)).To(Equal(time.Second))
		Expect(s.Self().PeerAddress.Port()).To(BeEquivalentTo(8081))
	})

	It("rejects the region selection of endpoints without a region", func() {
		_, err := settings.Decode([]byte(strings.Replace(minimal, "domain =", "holds = \"region\"\ndomain =", 1)))
		Expect(err).To(MatchError(ContainSubstring("instance.holds: needs instance.region")))
	})

	DescribeTable("rejects", func(extra, want string) {
		_, err := settings.Decode([]byte(minimal + extra))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("an unknown key with its line", "\n[log]\ncolour = 1\n", "11| colour"),
		Entry("a wrong type with its line", "\n[log]\nformat = 1\n", "line 11"),
		Entry("a value that is not one of the choices", "\n[log]\nformat = \"xml\"\n", "log.format"),
		Entry("TLS for operators without keys", "\n[tls]\noperators = \"server\"\n", "tls.operators: needs tls.certificate"),
		Entry("an unknown TLS mode for operators", "\n[tls]\noperators = \"on\"\n", "tls.operators"),
		Entry("a number out of range", "\n[platform]\nreads_per_second = 0\n", "platform.reads_per_second"),
		Entry("a malformed duration", "\n[stop]\ngrace = \"soon\"\n", "line 11"),
	)

	It("reports all missing keys together", func() {
		_, err := settings.Decode(nil)
		Expect(err).To(HaveOccurred())
		for _, key := range []string{"instance.id", "instance.domain", "listen.callers", "listen.peers", "listen.operators"} {
			Expect(err.Error()).To(ContainSubstring(key))
		}
	})
})

var _ = Describe("the settings page", func() {
	It("is up to date", func() {
		var b bytes.Buffer
		Expect(settings.WriteMarkdown(&b)).To(Succeed())
		if *update {
			Expect(os.WriteFile(page, b.Bytes(), 0o644)).To(Succeed())
		}
		got, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(b.String()))
	})
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Decode(data)
		if err != nil {
			return
		}
		if err := s.Validate(); err != nil {
			t.Fatalf("decoded settings do not validate: %v", err)
		}
	})
}
