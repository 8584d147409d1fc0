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
	It("fills defaults", func() {
		s, err := settings.Decode([]byte(minimal))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Duration(s.Platform.Timeout)).To(Equal(time.Second))
		Expect(s.Self().PeerAddress.Port()).To(BeEquivalentTo(8081))
	})

	It("refuses to keep a region's endpoints without a region", func() {
		_, err := settings.Decode([]byte(strings.Replace(minimal, "domain =", "holds = \"region\"\ndomain =", 1)))
		Expect(err).To(MatchError(ContainSubstring("instance.holds: needs instance.region")))
	})

	DescribeTable("refuses", func(extra, want string) {
		_, err := settings.Decode([]byte(minimal + extra))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("an unknown key with its line", "\n[log]\ncolour = 1\n", "11| colour"),
		Entry("a wrong type with its line", "\n[log]\nformat = 1\n", "line 11"),
		Entry("a choice that is none", "\n[log]\nformat = \"xml\"\n", "log.format"),
		Entry("TLS for operators without keys", "\n[tls]\noperators = \"server\"\n", "tls.operators: needs tls.certificate"),
		Entry("another TLS for operators", "\n[tls]\noperators = \"on\"\n", "tls.operators"),
		Entry("a number out of range", "\n[platform]\nreads_per_second = 0\n", "platform.reads_per_second"),
		Entry("a broken duration", "\n[stop]\ngrace = \"soon\"\n", "line 11"),
	)

	It("names every missing key at once", func() {
		_, err := settings.Decode(nil)
		Expect(err).To(HaveOccurred())
		for _, key := range []string{"instance.id", "instance.domain", "listen.callers", "listen.peers", "listen.operators"} {
			Expect(err.Error()).To(ContainSubstring(key))
		}
	})
})

var _ = Describe("the settings page", func() {
	It("is current", func() {
		var b bytes.Buffer
		Expect(settings.WriteMarkdown(&b)).To(Succeed())
		if *update {
			Expect(os.WriteFile(page, b.Bytes(), 0o644)).To(Succeed())
		}
		have, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(have)).To(Equal(b.String()))
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
