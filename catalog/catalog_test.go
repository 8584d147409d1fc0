package catalog_test

import (
	"bytes"
	"flag"
	"io"
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/catalog"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

var update = flag.Bool("update", false, "write the generated pages under docs")

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

// namePattern matches the names of knobs and metrics: words in snake case with at
// most one dot.
var namePattern = regexp.MustCompile(`^[a-z0-9]+(_[a-z0-9]+)*(\.[a-z0-9]+(_[a-z0-9]+)*)?$`)

var _ = Describe("the tables", func() {
	It("have unique knobs whose defaults are in range", func() {
		seen := map[string]bool{}
		for _, k := range catalog.Knobs() {
			key := string(k.Key)
			Expect(seen).NotTo(HaveKey(key))
			seen[key] = true
			Expect(key).To(MatchRegexp(namePattern.String()))
			Expect(k.Default).To(And(BeNumerically(">=", k.Min), BeNumerically("<=", k.Max)), key)
			Expect(k.Title).NotTo(BeEmpty(), key)
			Expect(k.Text).NotTo(BeEmpty(), key)
			Expect(k.Unit).NotTo(BeEmpty(), key)
		}
	})

	It("have unique metrics with a title and an action", func() {
		seen := map[string]bool{}
		for _, m := range catalog.Meters() {
			Expect(seen).NotTo(HaveKey(m.Name))
			seen[m.Name] = true
			Expect(m.Name).To(MatchRegexp(namePattern.String()))
			Expect(m.Title).NotTo(BeEmpty(), m.Name)
			Expect(m.Action).NotTo(BeEmpty(), m.Name)
		}
	})
})

var _ = Describe("the examples", func() {
	It("are valid", func() {
		data, err := os.ReadFile("../examples/fleet.toml")
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Decode("fleet.toml", data, catalog.Knobs())
		Expect(err).NotTo(HaveOccurred())
		_, err = settings.Read("../examples/settings.toml")
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = DescribeTable("the page", func(file string, write func(io.Writer) error) {
	var b bytes.Buffer
	Expect(write(&b)).To(Succeed())
	if *update {
		Expect(os.WriteFile(file, b.Bytes(), 0o644)).To(Succeed())
	}
	got, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(b.String()), "run go test ./catalog -update")
},
	Entry("of knobs is up to date", "../docs/knobs.md", catalog.WriteKnobs),
	Entry("of metrics is up to date", "../docs/operations/counters.md", catalog.WriteMeters),
	Entry("of outward names is current", "../docs/outward-names.md", writeOutward),
)
