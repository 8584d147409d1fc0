package network_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/network"
)

var suite *testing.T

func TestNetwork(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "network")
}

var _ = DescribeTable("LimitBody", func(body string, limit int64, want string, wantErr error) {
	for _, r := range []io.Reader{strings.NewReader(body), iotest.OneByteReader(strings.NewReader(body)), iotest.DataErrReader(strings.NewReader(body))} {
		data, err := io.ReadAll(network.LimitBody(r, limit))
		Expect(string(data)).To(Equal(want))
		if wantErr == nil {
			Expect(err).NotTo(HaveOccurred())
			continue
		}
		Expect(err).To(MatchError(wantErr))
	}
},
	Entry("an empty body", "", int64(0), "", nil),
	Entry("a body below the limit", "abc", int64(4), "abc", nil),
	Entry("a body of the greatest length", "abcd", int64(4), "abcd", nil),
	Entry("a body that is one byte longer", "abcde", int64(4), "abcd", network.ErrTooLong),
	Entry("a body that is much longer", strings.Repeat("x", 5000), int64(4), "xxxx", network.ErrTooLong),
)

var _ = It("returns nothing of a body that is too long", func() {
	data, err := network.ReadBody(strings.NewReader("abcde"), 4)
	Expect(err).To(MatchError(network.ErrTooLong))
	Expect(data).To(BeNil())
})
