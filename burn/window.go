package burn

import "time"

// Window is a time span over which burn rates are computed.
type Window struct {
	Name string
	Span time.Duration
	// slot is the resolution of the window; Span is a multiple of it.
	slot time.Duration
}

// Windows lists the windows, shortest first.
var Windows = []Window{
	{"5m", 5 * time.Minute, 10 * time.Second},
	{"30m", 30 * time.Minute, time.Minute},
	{"1h", time.Hour, 2 * time.Minute},
	{"6h", 6 * time.Hour, 12 * time.Minute},
}

// Alarm is raised when the burn rate is too high in two windows at once.
type Alarm struct {
	Name string
	// Long and Short are the names of two Windows.
	Long, Short string
	// Rate is the minimum burn rate in both windows.
	Rate float64
	// Action describes what an operator should do.
	Action string
}

// Alarms lists the alarms, most urgent first. Their rates consume 2% of a 30-day
// budget in one hour and 5% in six hours.
var Alarms = []Alarm{
	{"page", "1h", "5m", 14.4, "Act immediately: run hornbeamctl status, then check the endpoints of the model."},
	{"ticket", "6h", "30m", 6, "Act today: compare the model's objectives with the load of its endpoints."},
}

// tally counts good and bad requests.
type tally struct {
	good, bad uint32
}

// series counts the requests of one window in a ring buffer of slots.
type series struct {
	window Window
	// slots[i] is used for the slots whose number is i modulo len(slots). Slots are
	// numbered from the Unix epoch.
	slots []tally
	// newest is the number of the newest slot.
	newest int64
}

func newSeries(w Window) *series {
	return &series{window: w, slots: make([]tally, w.Span/w.slot)}
}

// add counts a request that finished at now.
func (s *series) add(now time.Time, good bool) {
	s.advance(now)
	t := &s.slots[s.index(s.newest)]
	if good {
		t.good++
		return
	}
	t.bad++
}

// sum returns the numbers of requests in the window that ends at now.
func (s *series) sum(now time.Time) Count {
	s.advance(now)
	var c Count
	for _, t := range s.slots {
		c.Good += uint64(t.good)
		c.Bad += uint64(t.bad)
	}
	return c
}

// advance moves the window to end at now and clears the slots that it reuses.
func (s *series) advance(now time.Time) {
	number := now.UnixNano() / int64(s.window.slot)
	first := max(s.newest+1, number-int64(len(s.slots))+1)
	for n := first; n <= number; n++ {
		s.slots[s.index(n)] = tally{}
	}
	s.newest = max(s.newest, number)
}

// index returns the position in slots of the slot with this number.
func (s *series) index(number int64) int {
	return int(number % int64(len(s.slots)))
}
