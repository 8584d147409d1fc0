package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// order is the body of POST /orders.
type order struct {
	OrderID  string             `json:"order_id"`
	Fence    uint64             `json:"fence"`
	NotAfter time.Time          `json:"not_after"`
	Kind     string             `json:"kind"`
	Weights  hbs.WeightsVersion `json:"weights"`
	Adapter  hbs.AdapterName    `json:"adapter"`
	Role     string             `json:"role"`
}

// OrderRecord is the engine's record of an order that it accepted.
type OrderRecord struct {
	At    time.Time
	Kind  string
	Fence uint64
	// Stale is set if an order with a higher fence had been accepted before.
	Stale bool
}

// Orders returns the orders accepted so far.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// engineState is the response body of GET /state.
type engineState struct {
	Incarnation hbs.Incarnation    `json:"incarnation"`
	Weights     hbs.WeightsVersion `json:"weights"`
	Adapters    []hbs.AdapterName  `json:"adapters"`
	Role        string             `json:"role"`
	Loading     string             `json:"loading"`
	Fence       uint64             `json:"fence"`
}

func (e *Engine) state() engineState {
	s := engineState{
		Incarnation: e.incarnation(),
		Weights:     e.weights,
		Adapters:    []hbs.AdapterName{},
		Role:        e.role,
		Loading:     string(e.loading),
		Fence:       e.fence,
	}
	for a := range e.adapters {
		s.Adapters = append(s.Adapters, a)
	}
	return s
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	s := e.state()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request")
		return
	}
	e.mu.Lock()
	status, code := e.applyOrder(o)
	s := e.state()
	e.mu.Unlock()
	if code != "" {
		writeError(w, status, code)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// applyOrder validates and executes an order. The caller holds mu.
func (e *Engine) applyOrder(o order) (status int, code string) {
	if !o.NotAfter.IsZero() && time.Now().After(o.NotAfter) {
		return http.StatusGone, "expired"
	}
	stale := o.Fence < e.fence
	if stale && e.Capabilities.ChecksFence {
		return http.StatusConflict, "stale_fence"
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, OrderRecord{time.Now(), o.Kind, o.Fence, stale})
	switch o.Kind {
	case "load_weights":
		e.loadWeights(o.Weights)
	case "load_adapter":
		time.AfterFunc(adapterLoadTime, func() { e.addAdapter(o.Adapter) })
	case "set_role":
		e.role = o.Role
	default:
		return http.StatusBadRequest, "unknown_kind"
	}
	return http.StatusOK, ""
}

// loadWeights starts to load other weights. Requests that still run on the old
// weights are aborted, as on a real engine that was not drained first.
func (e *Engine) loadWeights(v hbs.WeightsVersion) {
	if v == e.loading || (v == e.weights && e.loading == "") {
		return
	}
	for _, j := range e.jobs {
		j.finish(EndCrashed)
	}
	e.loading = v
	generation := e.generation
	time.AfterFunc(e.Weights.begin(), func() { e.finishLoad(v, generation) })
}

func (e *Engine) finishLoad(v hbs.WeightsVersion, generation int) {
	e.Weights.end()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation || e.loading != v {
		return
	}
	e.weights = v
	e.weightsSince = time.Now()
	e.loading = ""
	e.clearCache()
	e.publish("cleared", "", 0, 0)
}

func (e *Engine) addAdapter(a hbs.AdapterName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adapters[a] = true
}

// blockSalt combines the router's salt with the current weights, so that blocks
// computed with other weights never match.
func (e *Engine) blockSalt(salt string) string { return string(e.weights) + "\x00" + salt }
