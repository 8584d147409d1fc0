package router_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/router"
)

var _ = DescribeTable("hornbeamstage --check", func(floor string, want int, text string) {
	dir := GinkgoT().TempDir()
	write := func(name, text string) string {
		name = filepath.Join(dir, name)
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}
	settings := "[instance]\nid = \"a1\"\ndomain = \"a\"\nregion = \"r\"\n" +
		"[listen]\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\noperators = \"127.0.0.1:3\"\n" +
		"[configuration]\nfloor = \"" + write("floor.toml", floor) + "\"\n"
	c := &router.Command{Settings: write("settings.toml", settings), Check: true}
	code, err := c.Run(GinkgoT().Context(), nil)
	Expect(code).To(Equal(want))
	if text == "" {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	Expect(err).To(MatchError(ContainSubstring(text)))
},
	Entry("accepts a valid floor configuration", "[[workspaces]]\nid = \"w\"\n", router.ExitOK, ""),
	Entry("reports the line of an error in the floor configuration", "[defaults]\nno.such.knob = 1\n", router.ExitUsage, "floor.toml:2: "),
)
