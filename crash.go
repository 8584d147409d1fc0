package hornbeamstage

import "time"

// CrashWatch keeps requests from engines that they would crash. Its methods are safe
// for concurrent use and do not block.
type CrashWatch interface {
	// Check returns a refusal if req must not be sent to an engine, nil otherwise.
	Check(req *Request) *Refusal
	// Begin is like Check, right before an attempt of req sends it. After nil, End
	// follows when the attempt has ended, and after Crashed or Answered.
	Begin(req *Request) *Refusal
	End(req *Request)
	// Crashed records that the engine e crashed before an attempt of req, which had
	// reached it at connected, had written two events. It reports whether the request
	// may be sent to another engine.
	Crashed(req *Request, e *Endpoint, connected time.Time) (again bool)
	// Answered records that an engine wrote an answer to req.
	Answered(req *Request)
}
