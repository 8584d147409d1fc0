package replay

import (
	"github.com/cockroachdb/errors"

	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/service"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// engineFault and serviceFault apply a fault to one endpoint.
type (
	engineFault  func(e *engine.Engine, f Fault)
	serviceFault func(s *service.Service, f Fault)
)

func (r *Replay) applyToEndpoints(f Fault) error {
	onEngine, onService := engineFaults[f.Kind], serviceFaults[f.Kind]
	if onEngine == nil && onService == nil {
		return errors.New("unknown kind of fault")
	}
	if onEngine != nil {
		return applyToTargets(f, r.fleet.engines, func(e *engine.Engine) string { return string(e.ID) }, onEngine)
	}
	return applyToTargets(f, r.fleet.services, func(s *service.Service) string { return string(s.ID) }, onService)
}

func applyToTargets[T any](f Fault, all []T, name func(T) string, do func(T, Fault)) error {
	affected := targets(f, all, name)
	if len(affected) == 0 {
		return errNoTarget
	}
	for _, t := range affected {
		do(t, f)
	}
	return nil
}

var engineFaults = map[FaultKind]engineFault{
	FaultEngineCrash:   func(e *engine.Engine, f Fault) { e.Crash(f.duration()) },
	FaultEngineSlow:    func(e *engine.Engine, f Fault) { e.Slow(f.Factor, f.duration()) },
	FaultEngineLate:    func(e *engine.Engine, f Fault) { e.DelayAnswers(trace.Seconds(f.ExtraSeconds), f.duration()) },
	FaultEngineCross:   func(e *engine.Engine, f Fault) { e.CrossAnswers(f.Times) },
	FaultEngineBreak:   func(e *engine.Engine, f Fault) { e.BreakStreams(f.Times) },
	FaultEngineFail:    func(e *engine.Engine, f Fault) { e.Fail(f.duration()) },
	FaultEngineEndless: func(e *engine.Engine, f Fault) { e.AnswerEndlessly(f.duration()) },
	FaultEventsLost:    func(e *engine.Engine, f Fault) { e.LoseEvents(f.Share) },
	FaultLoadLag:       func(e *engine.Engine, f Fault) { e.DelayLoad(trace.Seconds(f.ExtraSeconds)) },
}

var serviceFaults = map[FaultKind]serviceFault{
	FaultServiceCrash:        func(s *service.Service, f Fault) { s.Crash(f.duration()) },
	FaultServiceSlow:         func(s *service.Service, f Fault) { s.Slow(f.Factor, f.duration()) },
	FaultServiceFailAfterRun: func(s *service.Service, f Fault) { s.FailAfterRun(f.Times) },
	FaultServiceDieAfterRun:  func(s *service.Service, f Fault) { s.AbortAfterRun(f.Times) },
	FaultServiceEndless:      func(s *service.Service, f Fault) { s.AnswerEndlessly(f.duration()) },
}
