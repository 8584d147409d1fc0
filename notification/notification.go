// Package notification tells any number of goroutines that something has changed.
package notification

// Signal notifies all that wait for the next change of some state. The zero value
// is ready to use. It is not safe for concurrent use: its owner calls it under the
// lock that guards the state, so that a channel from Next can be paired with the
// state as of then. The channel itself is received from without the lock. A Signal
// must not be copied after first use.
type Signal struct {
	// next is closed by the next Send; nil while nobody has asked for it.
	next chan struct{}
}

// Next returns a channel that is closed by the next Send. All calls between two
// Sends return the same channel.
func (s *Signal) Next() <-chan struct{} {
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Send notifies all that wait for a channel from Next. It never blocks.
func (s *Signal) Send() {
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
