package order_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/order"
)

// uncheckedEngine executes every order. It checks neither the fencing number nor
// the expiry.
type uncheckedEngine struct {
	mu      sync.Mutex
	weights hbs.WeightsVersion
	orders  []hbs.WeightsVersion
}

// ServeHTTP implements http.Handler.
func (e *uncheckedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost {
		var o order.Order
		_ = json.NewDecoder(r.Body).Decode(&o)
		e.weights = o.Weights
		e.orders = append(e.orders, o.Weights)
	}
	_ = json.NewEncoder(w).Encode(order.State{Weights: e.weights})
}

// received returns the weights versions of all orders so far.
func (e *uncheckedEngine) received() []hbs.WeightsVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
