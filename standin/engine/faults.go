package engine

import (
	"net/http"
	"time"

	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// endlessEvent is a stream of events with one event that never ends.
var endlessEvent = endless.Body("200 OK", "Content-Type: text/event-stream\r\n", "x")

// faults holds the injected faults of an engine. It is guarded by the engine's
// mutex.
type faults struct {
	slowFactor     float64
	slowUntil      time.Time
	answerDelay    time.Duration
	delayUntil     time.Time
	crossedAnswers int
	brokenStreams  int
	failUntil      time.Time
	eventLossRate  float64
	extraLoadLag   time.Duration
	answer         http.HandlerFunc
}

func (f *faults) slowed(d time.Duration, now time.Time) time.Duration {
	if now.Before(f.slowUntil) {
		return time.Duration(float64(d) * f.slowFactor)
	}
	return d
}

// Crash ends the incarnation at once. The engine restarts with an empty state
// after down.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case e.restart <- down:
	default:
	}
}

// Slow multiplies the duration of every step by factor for the next d.
func (e *Engine) Slow(factor float64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slowFactor = factor
	e.faults.slowUntil = time.Now().Add(d)
}

// DelayAnswers delays each answer by late for the next d.
func (e *Engine) DelayAnswers(late, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.answerDelay = late
	e.faults.delayUntil = time.Now().Add(d)
}

// CrossAnswers replaces the next n answers by the answers of other attempts in progress.
func (e *Engine) CrossAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crossedAnswers = n
}

// BreakStreams aborts the connections of the next n streams halfway through their
// output.
func (e *Engine) BreakStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.brokenStreams = n
}

// Fail answers every completion request with status 500 for the next d.
func (e *Engine) Fail(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.failUntil = time.Now().Add(d)
}

// AnswerEndlessly answers everything for the next d with bytes that never end and
// are no answer, in the header, in the body or after a switch of protocols.
func (e *Engine) AnswerEndlessly(d time.Duration) {
	e.endless.Begin(d, endless.HeaderLines, endless.ErrorBody, endlessEvent, endless.Switched(""))
}

// AnswerWith answers completion requests from now on with h, without running them.
// The headers that identify the attempt and the weights are set before h is called.
func (e *Engine) AnswerWith(h http.HandlerFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.answer = h
}

// LoseEvents drops cache events with the probability share from now on. The
// dropped events leave gaps in the sequence numbers.
func (e *Engine) LoseEvents(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.eventLossRate = share
}

// DelayLoad adds lag to the age of load reports from now on.
func (e *Engine) DelayLoad(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.extraLoadLag = lag
}
