package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the part of a request body that the engine reads.
type completion struct {
	Model     string      `json:"model"`
	Messages  []message   `json:"messages"`
	Prompt    string      `json:"prompt"`
	Stream    bool        `json:"stream"`
	MaxTokens int         `json:"max_tokens"`
	Priority  int         `json:"priority"`
	CacheSalt string      `json:"cache_salt"`
	Tags      []prefixTag `json:"prefix_tags"`
	// LoadKept permits the engine to load the prefix from the shared KV store.
	LoadKept bool `json:"load_kept"`
	// KeepTokens is the length of the prefix to write to the shared KV store.
	KeepTokens int `json:"keep_tokens"`
}

// text returns the prompt text that the engine computes.
func (c *completion) text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	return Text(func(yield func(role, content string) bool) {
		for _, m := range c.Messages {
			if !yield(m.Role, m.Content) {
				return
			}
		}
	})
}

// Text joins messages with their roles into the prompt text from which the engine
// forms blocks.
func Text(messages func(yield func(role, content string) bool)) string {
	var b strings.Builder
	for role, content := range messages {
		b.WriteString("<|")
		b.WriteString(role)
		b.WriteString("|>")
		b.WriteString(content)
	}
	return b.String()
}

// Delimiters of the identifier that a caller puts into a prompt, see BodyID.
const (
	bodyOpen  = "[[id:"
	bodyClose = "]]"
)

// MarkBody returns the text that marks a prompt with the given body identifier.
func MarkBody(id string) string { return bodyOpen + id + bodyClose }

// BodyID returns the last identifier that a caller marked in text by MarkBody, or
// "" if there is none.
func BodyID(text string) string {
	i := strings.LastIndex(text, bodyOpen)
	if i < 0 {
		return ""
	}
	id, _, _ := strings.Cut(text[i+len(bodyOpen):], bodyClose)
	return id
}

// Token returns the text of token n of the answer to the request with the given
// body identifier.
func Token(body string, n int) string {
	if body == "" {
		body = "token"
	}
	return body + "." + strconv.Itoa(n) + " "
}

func (e *Engine) handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.serveCompletion(true))
	r.POST("/v1/completions", e.serveCompletion(false))
	r.GET("/v1/streams/:attempt", e.serveResume)
	r.DELETE("/v1/streams/:attempt", e.serveCancel)
	r.GET("/load", e.serveLoad)
	r.GET("/cache_events", e.serveEvents)
	r.GET("/state", e.serveState)
	r.POST("/orders", e.serveOrder)
	return r
}

func (e *Engine) serveCompletion(chat bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var c completion
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &c) != nil {
			writeError(w, http.StatusBadRequest, "bad_request")
			return
		}
		if h := e.injectedAnswer(); h != nil {
			e.setIdentityHeaders(w, hbs.AttemptID(r.Header.Get("X-Attempt-Id")))
			h(w, r)
			return
		}
		j, status, code := e.accept(r.Header, &c, chat)
		if code != "" {
			e.setIdentityHeaders(w, hbs.AttemptID(r.Header.Get("X-Attempt-Id")))
			writeError(w, status, code)
			return
		}
		e.answer(w, r, j, c.Stream)
	}
}

// injectedAnswer returns the handler that answers in place of the engine, or nil.
func (e *Engine) injectedAnswer() http.HandlerFunc {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.answer
}

// accept validates a request and adds it to the queue, or returns the status and
// error code of the refusal.
func (e *Engine) accept(h http.Header, c *completion, chat bool) (j *job, status int, code string) {
	text := c.text()
	e.mu.Lock()
	defer e.mu.Unlock()
	if status, code = e.refusal(h, c); code != "" {
		return nil, status, code
	}
	e.arrivals++
	attempt := hbs.AttemptID(h.Get("X-Attempt-Id"))
	if attempt == "" {
		attempt = hbs.AttemptID(fmt.Sprintf("%s-%d", e.ID, e.arrivals))
	}
	window, _ := time.ParseDuration(h.Get("X-Resume-Window"))
	j = &job{
		run: &Run{
			Attempt:      attempt,
			Body:         BodyID(text),
			Salt:         c.CacheSalt,
			Weights:      e.weights,
			Incarnation:  e.incarnation(),
			Arrived:      time.Now(),
			PromptTokens: max(1, Tokens(text)),
		},
		arrival:      e.arrivals,
		salt:         e.blockSalt(c.CacheSalt),
		tags:         c.Tags,
		loadAllowed:  c.LoadKept,
		storeTokens:  c.KeepTokens,
		chat:         chat,
		output:       max(1, c.MaxTokens),
		promptLeft:   -1,
		resumeWindow: window,
	}
	j.blocks = Blocks(j.salt, text)
	if e.Capabilities.Priority {
		j.priority = c.Priority
	}
	e.runs = append(e.runs, j.run)
	e.jobs[attempt] = j
	e.waiting = append(e.waiting, j)
	e.signalWork()
	return j, 0, ""
}

// refusal returns the status and error code with which the engine refuses a
// request, or an empty code if it accepts it. The caller holds mu.
func (e *Engine) refusal(h http.Header, c *completion) (status int, code string) {
	model, adapter, _ := strings.Cut(c.Model, ":")
	want := hbs.WeightsVersion(h.Get("X-Weights-Version"))
	switch {
	case time.Now().Before(e.faults.failUntil):
		return http.StatusInternalServerError, "failing"
	case e.loading != "" || e.role != "serve" || len(e.waiting) >= maxWaiting:
		return http.StatusServiceUnavailable, "not_run"
	case want != "" && want != e.weights:
		return http.StatusConflict, "weights_mismatch"
	case model != string(e.Model), adapter != "" && !e.adapters[hbs.AdapterName(adapter)]:
		return http.StatusServiceUnavailable, "not_run"
	}
	return 0, ""
}

func (e *Engine) signalWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// setIdentityHeaders sets the headers that identify the attempt, the incarnation
// and the weights of an answer.
func (e *Engine) setIdentityHeaders(w http.ResponseWriter, attempt hbs.AttemptID) {
	if !e.Capabilities.EchoesAttempt {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Attempt-Id", string(attempt))
	w.Header().Set("X-Incarnation", string(e.incarnation()))
	w.Header().Set("X-Weights-Version", string(e.weights))
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	markPublishing(r)
	if !e.Capabilities.LoadReports {
		writeError(w, http.StatusNotFound, "no_load_reports")
		return
	}
	e.mu.Lock()
	b, _ := json.Marshal(e.delayedReport(time.Now()))
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is an error in the format of the OpenAI API.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, code string) {
	var b errorBody
	b.Error.Message = "engine stand-in: " + code
	b.Error.Type = "engine_error"
	b.Error.Code = code
	writeJSON(w, status, b)
}
