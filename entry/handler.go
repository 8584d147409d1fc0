package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/claim"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/prompt"
)

// Handler serves callers. All fields must be set before Routes is called.
type Handler struct {
	Config     *config.Store
	Directory  hbs.Directory
	Limiter    hbs.Limiter
	Claims     *claim.Store
	Dispatcher *dispatch.Dispatcher
	Tracker    *burn.Tracker
	Cutter     prompt.Cutter
	// MaxBodyBytes is the maximum size of a request's body; positive.
	MaxBodyBytes int64
	// BodyWait is the timeout for reading a body, WriteWait that of one write.
	BodyWait, WriteWait time.Duration
	// Memory bounds what requests take; nil means no bound.
	Memory  *memory.Budget
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Routes returns the HTTP handler for all paths that callers use.
func (h *Handler) Routes() http.Handler {
	m := httprouter.New()
	m.HandleMethodNotAllowed = true
	m.POST("/v1/chat/completions", h.exchangeHandler(decodeModelRequest))
	m.POST("/v1/completions", h.exchangeHandler(decodeModelRequest))
	m.GET("/v1/models", h.models)
	for _, method := range serviceMethods {
		m.Handle(method, "/services/:name/*path", h.exchangeHandler(decodeServiceRequest))
	}
	m.PanicHandler = h.handlePanic
	return m
}

var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// handlePanic logs a panic of a handler and answers the request. A panic is
// always a bug in this program, never the caller's error.
func (h *Handler) handlePanic(w http.ResponseWriter, _ *http.Request, cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	h.count(MeterPanics)
	h.Log.Error("request handler panicked", zap.Any("cause", cause), zap.Stack("stack"))
	r := &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonInternal}
	caller.WriteRefusal(w, r)
}

// authenticate returns the workspace of the request's bearer key.
func (h *Handler) authenticate(r *http.Request) (hbs.WorkspaceID, error) {
	if !h.waitConfigured(r.Context()) {
		return "", hbs.NotRun(hbs.ReasonStarting, "", startWait)
	}
	workspace, ok := h.Config.Workspace(caller.BearerKey(r.Header))
	if !ok {
		return "", hbs.NotRun(hbs.ReasonUnauthorized, "", 0)
	}
	return workspace, nil
}

// startWait is the time that a request waits for an instance that has just started
// to receive its first configuration.
const startWait = time.Second

// waitConfigured waits for a configuration with workspaces and reports whether
// there is one. Without it every key would be rejected as unauthorized.
func (h *Handler) waitConfigured(ctx context.Context) bool {
	return delay.Until(ctx, startWait, h.Config.Changed, func() bool { return len(h.Config.Config().Workspaces) > 0 })
}

func (h *Handler) count(name string) {
	metrics.GetOrRegisterCounter(name, h.Metrics).Inc(1)
}

// CountHeaderTimeout counts a connection that the server closed because the
// request's header was not complete in time.
func (h *Handler) CountHeaderTimeout() { h.count(meterReasonPrefix + string(hbs.ReasonHeaderTimeout)) }
