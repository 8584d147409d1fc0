package trace_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

var _ = Describe("Make", func() {
	DescribeTable("reproduces the shipped trace", func(name string) {
		w, err := trace.ReadWorkload("../traces/" + name + ".workload.toml")
		Expect(err).NotTo(HaveOccurred())
		var b bytes.Buffer
		Expect(trace.Make(w, 1).Write(&b)).To(Succeed())
		shipped, err := os.ReadFile("../traces/" + name + ".jsonl")
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(b.Bytes(), shipped)).To(BeTrue())
	},
		Entry(nil, "tambuli"),
		Entry(nil, "softwold"),
	)
})

var _ = Describe("Read", func() {
	const header = `{"version":1,"workspaces":[{"id":"w"}],"fleet":{"domains":["a"],"instances":1}}` + "\n"

	DescribeTable("refuses", func(lines, want string) {
		_, err := trace.Read(strings.NewReader(header + lines))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("an unknown field and names its line", `{"when":1}`, "line 2"),
		Entry("a request without a model or service", `{"id":"r","workspace":"w","deadline_seconds":1}`, "either a model or a service"),
		Entry("lines out of order",
			`{"at":2,"id":"r","workspace":"w","service":"s","deadline_seconds":1}`+"\n"+
				`{"at":1,"id":"q","workspace":"w","service":"s","deadline_seconds":1}`, "line 3"),
	)
})

var _ = Describe("Texts", func() {
	It("generates the same text of the given length for segments with the same id", func() {
		var a, b trace.Texts
		s := trace.Segment{ID: "code0", Tokens: 100}
		Expect(a.Text(s)).To(HaveLen(400))
		Expect(a.Text(s)).To(Equal(b.Text(s)))
		Expect(a.Text(trace.Segment{ID: "code1", Tokens: 100})).NotTo(Equal(a.Text(s)))
	})
})
