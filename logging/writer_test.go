package logging

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

var suite *testing.T

func TestLogging(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

// run runs w until f has returned and the queue is written.
func run(w *Writer, f func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = w.Run(ctx) })
	f()
	cancel()
	wg.Wait()
}

var _ = Describe("Writer", func() {
	It("writes lines in order, including those queued at the end", func() {
		var out bytes.Buffer
		w := &Writer{Out: &out}
		log, err := New(w, "json", "info")
		Expect(err).NotTo(HaveOccurred())
		run(w, func() {
			log.Info("first", zap.Int("n", 1))
			log.Debug("below the level")
			log.Info("second")
		})
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(ContainSubstring(`"msg":"first","n":1`))
		Expect(lines[1]).To(ContainSubstring(`"msg":"second"`))
	})

	It("does not block on a pipe that nobody reads, and logs the number of dropped lines", func() {
		r, pipe, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		w := &Writer{Out: pipe}
		line := []byte(strings.Repeat("x", 1023) + "\n")
		// 300 KiB exceed the capacity of the pipe and a batch. The second loop also
		// exceeds BytesPerSecond.
		const sent = 300
		run(w, func() {
			for range sent {
				n, err := w.Write(line)
				Expect(err).NotTo(HaveOccurred())
				Expect(n).To(Equal(len(line)))
			}
			for range LinesPerSecond {
				_, _ = w.Write(line)
			}
			Expect(w.Dropped()).NotTo(BeZero())
			var wg conc.WaitGroup
			wg.Go(func() {
				data, err := io.ReadAll(r)
				if err != nil || !strings.Contains(string(data), "log lines dropped") {
					panic("no count of dropped lines")
				}
			})
			DeferCleanup(wg.Wait)
		})
		Expect(pipe.Close()).To(Succeed())
	})

	DescribeTable("limits the rate", func(size, most int) {
		synctest.Test(suite, func(t *testing.T) {
			var out bytes.Buffer
			w := &Writer{Out: &out}
			line := []byte(strings.Repeat("x", size-1) + "\n")
			run(w, func() {
				for range 20 * LinesPerSecond {
					_, _ = w.Write(line)
					time.Sleep(100 * time.Microsecond)
				}
			})
			g := NewWithT(t)
			// The lines of two seconds and the burst of one more second.
			g.Expect(strings.Count(out.String(), string(line))).To(BeNumerically("<=", 3*most+1))
			g.Expect(out.String()).To(ContainSubstring("log lines dropped"))
		})
	},
		Entry("of short lines", 100, LinesPerSecond),
		Entry("of long lines", 8<<10, BytesPerSecond/(8<<10)),
	)
})
