package bed

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// write writes all lines to a file.
func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
