package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/prompt"
	"github.com/hornbeamstage/hornbeamstage/weights"
)

// modelExchange decodes a request for a model.
func modelExchange(x *exchange) error {
	body, err := caller.DecodeBody(x.req.Body)
	if err != nil {
		return hbs.BadRequest(err)
	}
	cfg := x.h.Config.Config()
	model := cfg.Model(body.Model)
	if model == nil || !allowed(cfg.Workspace(x.req.Workspace), body.Model) {
		return hbs.NotRun(hbs.ReasonUnknownModel, string(body.Model), 0)
	}
	if body.Adapter != "" && !slices.Contains(model.Adapters, body.Adapter) {
		return hbs.NotRun(hbs.ReasonUnknownModel, fmt.Sprintf("%s has no adapter %q", body.Model, body.Adapter), 0)
	}
	x.req.Class = hbs.ClassRepeatable
	x.req.Path = x.r.URL.Path
	x.req.Model = body.Model
	x.req.Adapter = body.Adapter
	x.req.Weights = weights.Serving(x.h.Directory.Roster(), body.Model, model.Weights, rand.Uint64())
	x.req.Stream = body.Stream
	x.cut(body.Messages)
	x.setExpectedTokens(body.MaxTokens)
	x.setDefaultDeadline()
	return nil
}

func (x *exchange) cut(messages []prompt.Message) {
	salt := prompt.Salt{
		Workspace: x.req.Workspace,
		Model:     x.req.Model,
		Adapter:   x.req.Adapter,
		Weights:   x.req.Weights,
	}
	x.req.Levels = x.h.Cutter.Cut(salt, messages)
	if n := len(x.req.Levels); n > 0 {
		x.req.PromptTokens = x.req.Levels[n-1].Tokens
	}
}

// setExpectedTokens takes the caller's bound as the expectation: callers that
// care about latency state a close one.
func (x *exchange) setExpectedTokens(bound int) {
	x.req.ExpectedTokens = bound
	if bound == 0 {
		x.req.ExpectedTokens = int(x.h.Config.Number(KnobExpectedTokens, x.scope()))
	}
}

func allowed(w *config.Workspace, model hbs.ModelName) bool {
	if w == nil {
		return false
	}
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}

// modelList is OpenAI's list form.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models and adapters of the caller's workspace.
func (h *Handler) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	workspace, err := h.authenticate(r)
	if err != nil {
		caller.WriteRefusal(w, hbs.AsRefusal(err))
		return
	}
	cfg := h.Config.Config()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range cfg.Models {
		if allowed(cfg.Workspace(workspace), m.Name) {
			list.Data = append(list.Data, modelItems(&m)...)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the caller is gone.
	_ = json.NewEncoder(w).Encode(list)
}

func modelItems(m *config.Model) []modelItem {
	const owner = "hornbeamstage"
	items := []modelItem{{ID: string(m.Name), Object: "model", OwnedBy: owner}}
	for _, a := range m.Adapters {
		id := string(m.Name) + ":" + string(a)
		items = append(items, modelItem{ID: id, Object: "model", OwnedBy: owner})
	}
	return items
}
