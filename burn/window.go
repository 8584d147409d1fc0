package burn

import "time"

// Window is one of the spans over which burn rates are taken.
type Window struct {
	Name string
	Span time.Duration
	// slot is the resolution; Span is a multiple of it.
	slot time.Duration
}

// Windows lists the spans, shortest first.
var Windows = []Window{
	{"5m", 5 * time.Minute, 10 * time.Second},
	{"30m", 30 * time.Minute, time.Minute},
	{"1h", time.Hour, 2 * time.Minute},
	{"6h", 6 * time.Hour, 12 * time.Minute},
}

// Alarm asks for a burn rate in two windows at once.
type Alarm struct {
	Name string
	// Long and Short are names of Windows.
	Long, Short string
	// Rate is the burn rate that both windows have to reach.
	Rate float64
	// Action tells an operator what to do.
	Action string
}

// Alarms lists the alarms, most urgent first. The rates use up 2% of a 30-day
// budget in an hour and 5% in six hours.
var Alarms = []Alarm{
	{"page", "1h", "5m", 14.4, "Look at once: hornbeamctl status, then the endpoints of the model."},
	{"ticket", "6h", "30m", 6, "Look today: compare the model's objectives and its endpoints' load."},
}

// tally counts good and bad requests.
type tally struct {
	good, bad uint32
}

// series keeps tallies of one window in a ring of slots.
type series struct {
	window Window
	// slots[i] belongs to the slot numbers that are i modulo len(slots).
	slots []tally
	// newest is the number of the newest slot since the Unix epoch.
	newest int64
}

func newSeries(w Window) *series {
	return &series{window: w, slots: make([]tally, w.Span/w.slot)}
}

// add counts one request at now.
func (s *series) add(now time.Time, good bool) {
	s.advance(now)
	t := &s.slots[s.index(s.newest)]
	if good {
		t.good++
		return
	}
	t.bad++
}

// sum returns the tally of the window that ends at now.
func (s *series) sum(now time.Time) Count {
	s.advance(now)
	var c Count
	for _, t := range s.slots {
		c.Good += uint64(t.good)
		c.Bad += uint64(t.bad)
	}
	return c
}

// advance empties the slots that have left the window.
func (s *series) advance(now time.Time) {
	number := now.UnixNano() / int64(s.window.slot)
	first := max(s.newest+1, number-int64(len(s.slots))+1)
	for n := first; n <= number; n++ {
		s.slots[s.index(n)] = tally{}
	}
	s.newest = max(s.newest, number)
}

func (s *series) index(number int64) int {
	return int(number % int64(len(s.slots)))
}
