package trace

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Workload describes the traffic from which Make generates a trace. It is read from
// a TOML file.
type Workload struct {
	Name          string      `toml:"name"`
	Seconds       float64     `toml:"seconds"`
	WarmupSeconds float64     `toml:"warmup_seconds"`
	Fleet         Fleet       `toml:"fleet"`
	Workspaces    []Workspace `toml:"workspaces"`
	Swing         Swing       `toml:"swing"`
	// ShiftSeconds is when other segments become the hot ones; 0 is never.
	ShiftSeconds float64 `toml:"shift_seconds"`
	Flows        []Flow  `toml:"flows"`
}

// Swing describes how demand varies. Every EverySeconds there is a crest that lasts
// CrestSeconds, with Crest times the mean rate, followed by a trough of the same
// length, with Trough times the mean rate.
type Swing struct {
	EverySeconds float64 `toml:"every_seconds"`
	CrestSeconds float64 `toml:"crest_seconds"`
	Crest        float64 `toml:"crest"`
	Trough       float64 `toml:"trough"`
}

// Flow describes requests of one kind.
type Flow struct {
	Name string `toml:"name"`
	// Rate is the mean number of requests per second.
	Rate            float64        `toml:"rate"`
	Class           hbs.RouteClass `toml:"class"`
	Work            Work           `toml:"work"`
	Priority        hbs.Priority   `toml:"priority"`
	DeadlineSeconds float64        `toml:"deadline_seconds"`

	Model hbs.ModelName `toml:"model"`
	// Levels are the segments of a prompt from the outermost to the innermost.
	Levels []PromptLevel `toml:"levels"`
	// Turns is the mean number of requests in a conversation. Each request but the
	// first repeats the prompt of the previous one and appends TurnTokens.
	Turns      float64 `toml:"turns"`
	TurnTokens int     `toml:"turn_tokens"`
	// OutputMin and OutputMax are the range of the length of answers, in tokens.
	OutputMin int `toml:"output_min"`
	OutputMax int `toml:"output_max"`
	// WholeShare is the fraction of requests whose answer is not streamed,
	// LeaveShare the fraction whose caller closes the connection early.
	WholeShare float64 `toml:"whole_share"`
	LeaveShare float64 `toml:"leave_share"`

	Service     hbs.ServiceName `toml:"service"`
	Method      string          `toml:"method"`
	Path        string          `toml:"path"`
	WorkSeconds float64         `toml:"work_seconds"`
	// KeyShare is the fraction of calls with an idempotency key, AgainShare the
	// fraction of those that the caller sends twice.
	KeyShare   float64 `toml:"key_share"`
	AgainShare float64 `toml:"again_share"`
}

// PromptLevel is one level of the segments of prompts.
type PromptLevel struct {
	Name   string `toml:"name"`
	Tokens int    `toml:"tokens"`
	// Count is the number of different segments of this level for each segment of
	// the level above. If it is 0, each conversation gets a new segment.
	Count int `toml:"count"`
	// Hot is the fraction of requests with the hot segment. The others draw from
	// all segments of the level evenly.
	Hot float64 `toml:"hot"`
}

// ReadWorkload reads a workload file.
func ReadWorkload(name string) (w Workload, err error) {
	defer func() { err = errors.Wrapf(err, "workload %s", name) }()
	data, err := os.ReadFile(name)
	if err != nil {
		return w, err
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return w, dec.Decode(&w)
}
