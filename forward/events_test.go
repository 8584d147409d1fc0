package forward

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamstage/hornbeamstage/attempt"
)

// suite is the test that runs the specs; synctest bubbles need it.
var suite *testing.T

func TestForward(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

// minBufferSize is the minimum size of a bufio.Reader. Longer lines don't fit in it.
const minBufferSize = 16

// readAll returns the events that pass through a reader, and the error at the end.
func readAll(text string, last int64) (passed string, e *eventReader, err error) {
	e = newEventReader(text, last)
	passed, err = e.readAll()
	return passed, e, err
}

func newEventReader(text string, last int64) *eventReader {
	return &eventReader{src: bufio.NewReaderSize(strings.NewReader(text), minBufferSize), lastID: last}
}

// readAll returns the events that pass, and the error at the end.
func (e *eventReader) readAll() (passed string, err error) {
	for err == nil {
		var batch []byte
		batch, err = e.next()
		passed += string(batch)
	}
	return passed, err
}

var _ = DescribeTable("events pass complete, in order and once", func(text string, last int64, want string, wantID int64, end error) {
	passed, e, err := readAll(text, last)
	Expect(passed).To(Equal(want))
	Expect(e.lastID).To(Equal(wantID))
	Expect(err).To(Equal(end))
},
	Entry("two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", int64(0), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", int64(2), io.EOF),
	Entry("lines that end with carriage returns", "id: 1\r\ndata: a\r\n\r\n", int64(0), "id: 1\r\ndata: a\r\n\r\n", int64(1), io.EOF),
	Entry("a line longer than the buffer", "id: 1\ndata: "+strings.Repeat("x", 3*minBufferSize-6)+"\n\n", int64(0),
		"id: 1\ndata: "+strings.Repeat("x", 3*minBufferSize-6)+"\n\n", int64(1), io.EOF),
	Entry("an event that is cut off", "id: 1\ndata: a\n\nid: 2\ndata: b", int64(0), "id: 1\ndata: a\n\n", int64(1), errPartialEvent),
	Entry("an event that is cut off after a line", "id: 1\ndata: a\n", int64(0), "", int64(0), errPartialEvent),
	Entry("an event that is cut off within the empty line", "data: a\r\n\r", int64(0), "", int64(0), errPartialEvent),
	Entry("an event that is cut off while it is blank", "data: a\n\n\r", int64(0), "data: a\n\n", int64(0), errPartialEvent),
	Entry("empty lines after the last event", "data: a\n\n\n\r\n", int64(0), "data: a\n\n\n\r\n", int64(0), io.EOF),
	Entry("events that the caller already has", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", int64(2), "id: 3\ndata: c\n\n", int64(3), io.EOF),
	Entry("no events", "", int64(0), "", int64(0), io.EOF),
	Entry("events without IDs", "data: a\n\ndata: b\n\n", int64(0), "data: a\n\ndata: b\n\n", int64(0), io.EOF),
)

// A resumed stream must not leave out an event that the caller lacks, and streams
// whose IDs are not consecutive must still be resumed.
var _ = DescribeTable("a resumed stream", func(before, after, want string, end error) {
	_, first, _ := readAll(before, 0)
	e := newEventReader(after, first.lastID)
	e.consecutive = first.consecutive
	passed, err := e.readAll()
	Expect(passed).To(Equal(want))
	Expect(errors.Is(err, end)).To(BeTrue(), "%v", err)
},
	Entry("that goes on", "id: 1\n\nid: 2\n\n", "id: 3\n\nid: 4\n\n", "id: 3\n\nid: 4\n\n", io.EOF),
	Entry("that goes on after events that the caller has", "id: 1\n\nid: 2\n\n", "id: 1\n\nid: 2\n\nid: 3\n\n", "id: 3\n\n", io.EOF),
	Entry("that leaves out an event", "id: 1\n\nid: 2\n\n", "id: 4\n\n", "", errMissingEvent),
	Entry("that leaves out an event after one that the caller has", "id: 1\n\nid: 2\n\n", "id: 2\n\nid: 4\n\n", "", errMissingEvent),
	Entry("whose part before did not begin with the first event", "id: 13\n\nid: 14\n\n", "id: 16\n\n", "", errMissingEvent),
	Entry("whose IDs are not consecutive", "id: 4\n\nid: 8\n\n", "id: 12\n\n", "id: 12\n\n", io.EOF),
	Entry("whose IDs were consecutive only at first", "id: 1\n\nid: 2\n\nid: 5\n\n", "id: 9\n\n", "id: 9\n\n", io.EOF),
	Entry("after one event, which doesn't show how IDs go on", "id: 4\n\n", "id: 8\n\n", "id: 8\n\n", io.EOF),
	Entry("with an event without an ID", "id: 1\n\nid: 2\n\n", "data: a\n\n", "data: a\n\n", io.EOF),
)

var _ = It("reports each gap between events, and the longest", func() {
	synctest.Test(suite, func(t *testing.T) {
		var gaps []time.Duration
		r := &run{Call: &attempt.Call{OnGap: func(gap time.Duration) { gaps = append(gaps, gap) }}}
		for _, pause := range []time.Duration{20, 90, 30} {
			r.recordGap()
			time.Sleep(pause * time.Millisecond)
		}
		r.recordGap()
		g := NewWithT(t)
		g.Expect(gaps).To(Equal([]time.Duration{20 * time.Millisecond, 90 * time.Millisecond, 30 * time.Millisecond}))
		g.Expect(r.result.LongestPause).To(Equal(90 * time.Millisecond))
	})
})

// Guards against events that reach the caller late: one that had arrived whole waited
// for the rest of the next one.
var _ = It("passes an event on before the next one is complete", func() {
	synctest.Test(suite, func(t *testing.T) {
		r, w := io.Pipe()
		var wg conc.WaitGroup
		defer wg.Wait()
		defer r.Close()
		e := &eventReader{src: bufio.NewReaderSize(r, streamBuffer)}
		var batch []byte
		done := make(chan struct{})
		wg.Go(func() {
			defer close(done)
			batch, _ = e.next()
		})
		_, err := io.WriteString(w, "id: 1\ndata: a\n\nid: 2")
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		g.Expect(done).To(BeClosed())
		g.Expect(string(batch)).To(Equal("id: 1\ndata: a\n\n"))
	})
})

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n", int64(0))
	f.Fuzz(func(t *testing.T, text string, last int64) {
		passed, _, _ := readAll(text, max(last, 0))
		if len(passed) > len(text) {
			t.Fatalf("%d bytes of %d", len(passed), len(text))
		}
	})
}
