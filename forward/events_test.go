package forward

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/attempt"
)

// suite is the test that runs the specs, for bubbles.
var suite *testing.T

func TestForward(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

// smallest is the least size of a bufio.Reader, so that lines do not fit.
const smallest = 16

// copyAll returns what passes of a stream, and how it ended.
func copyAll(text string, last int64) (passed string, e *events, err error) {
	e = &events{from: bufio.NewReaderSize(strings.NewReader(text), smallest), last: last}
	for err == nil {
		var batch []byte
		batch, err = e.next()
		passed += string(batch)
	}
	return passed, e, err
}

var _ = DescribeTable("events pass whole, in order and once", func(text string, last int64, want string, number int64, end error) {
	passed, e, err := copyAll(text, last)
	Expect(passed).To(Equal(want))
	Expect(e.last).To(Equal(number))
	Expect(err).To(Equal(end))
},
	Entry("two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", int64(0), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", int64(2), io.EOF),
	Entry("with carriage returns", "id: 1\r\ndata: a\r\n\r\n", int64(0), "id: 1\r\ndata: a\r\n\r\n", int64(1), io.EOF),
	Entry("a line longer than the buffer", "id: 1\ndata: "+strings.Repeat("x", 3*smallest-6)+"\n\n", int64(0),
		"id: 1\ndata: "+strings.Repeat("x", 3*smallest-6)+"\n\n", int64(1), io.EOF),
	Entry("one that is cut", "id: 1\ndata: a\n\nid: 2\ndata: b", int64(0), "id: 1\ndata: a\n\n", int64(1), errPartial),
	Entry("one that is cut after its line", "id: 1\ndata: a\n", int64(0), "", int64(0), errPartial),
	Entry("some that the caller has", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", int64(2), "id: 3\ndata: c\n\n", int64(3), io.EOF),
	Entry("none", "", int64(0), "", int64(0), io.EOF),
	Entry("without numbers", "data: a\n\ndata: b\n\n", int64(0), "data: a\n\ndata: b\n\n", int64(0), io.EOF),
)

var _ = It("tells each time between events, and the longest", func() {
	synctest.Test(suite, func(t *testing.T) {
		var gaps []time.Duration
		r := &run{Call: &attempt.Call{Gap: func(gap time.Duration) { gaps = append(gaps, gap) }}}
		for _, pause := range []time.Duration{20, 90, 30} {
			r.gap()
			time.Sleep(pause * time.Millisecond)
		}
		r.gap()
		g := NewWithT(t)
		g.Expect(gaps).To(Equal([]time.Duration{20 * time.Millisecond, 90 * time.Millisecond, 30 * time.Millisecond}))
		g.Expect(r.result.LongestPause).To(Equal(90 * time.Millisecond))
	})
})

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n", int64(0))
	f.Fuzz(func(t *testing.T, text string, last int64) {
		passed, _, _ := copyAll(text, max(last, 0))
		if len(passed) > len(text) {
			t.Fatalf("%d bytes of %d", len(passed), len(text))
		}
	})
}
