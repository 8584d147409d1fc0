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

// TakenOrder is the engine's record of an order that it took.
type TakenOrder struct {
	At    time.Time
	Kind  string
	Fence uint64
	// Stale tells that an order with a higher number had been taken before.
	Stale bool
}

// Orders returns the orders taken so far.
func (e *Engine) Orders() []TakenOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]TakenOrder(nil), e.orders...)
}

// engineState is the answer of GET /state.
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
	status, code := e.take(o)
	s := e.state()
	e.mu.Unlock()
	if code != "" {
		writeError(w, status, code)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// take checks and carries out an order. It is called with mu held.
func (e *Engine) take(o order) (status int, code string) {
	if !o.NotAfter.IsZero() && time.Now().After(o.NotAfter) {
		return http.StatusGone, "expired"
	}
	stale := o.Fence < e.fence
	if stale && e.Capabilities.ChecksFence {
		return http.StatusConflict, "stale_fence"
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, TakenOrder{time.Now(), o.Kind, o.Fence, stale})
	switch o.Kind {
	case "load_weights":
		e.loadWeights(o.Weights)
	case "load_adapter":
		time.AfterFunc(adapterLoad, func() { e.addAdapter(o.Adapter) })
	case "set_role":
		e.role = o.Role
	default:
		return http.StatusBadRequest, "unknown_kind"
	}
	return http.StatusOK, ""
}

// loadWeights replaces the weights. Runs on the old ones that were not drained
// are cut, as on a real engine.
func (e *Engine) loadWeights(v hbs.WeightsVersion) {
	if v == e.loading || (v == e.weights && e.loading == "") {
		return
	}
	for _, j := range e.jobs {
		j.finish(EndCrashed)
	}
	e.loading = v
	life := e.life
	time.AfterFunc(e.Weights.begin(), func() { e.loaded(v, life) })
}

func (e *Engine) loaded(v hbs.WeightsVersion, life int) {
	e.Weights.end()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life || e.loading != v {
		return
	}
	e.weights = v
	e.since = time.Now()
	e.loading = ""
	e.clearCache()
	e.publish("cleared", "", 0, 0)
}

func (e *Engine) addAdapter(a hbs.AdapterName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adapters[a] = true
}

// salted joins the router's salt and the present weights, so that blocks of
// other weights never match.
func (e *Engine) salted(salt string) string { return string(e.weights) + "\x00" + salt }
