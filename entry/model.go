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

// decodeModelRequest decodes a request for a model; it is a decoder.
func decodeModelRequest(x *exchange) error {
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
	x.cutPrompt(body.Messages)
	x.setExpectedTokens(body.MaxTokens)
	x.setDefaultDeadline()
	return nil
}

// cutPrompt sets the prefixes of the prompt and its number of tokens.
func (x *exchange) cutPrompt(messages []prompt.Message) {
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

// setExpectedTokens sets the expected answer length to the caller's limit, or to
// the configured value if there is none. Callers that care about latency set a
// limit close to the actual length.
func (x *exchange) setExpectedTokens(bound int) {
	x.req.ExpectedTokens = bound
	if bound == 0 {
		x.req.ExpectedTokens = int(x.h.Config.Number(KnobExpectedTokens, x.scope()))
	}
}

// allowed reports whether the workspace may use the model.
func allowed(w *config.Workspace, model hbs.ModelName) bool {
	if w == nil {
		return false
	}
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}

// modelList is the answer to GET /v1/models in OpenAI's format.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller's workspace may use, with their
// adapters.
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
	// Encode fails only if the caller has disconnected.
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
