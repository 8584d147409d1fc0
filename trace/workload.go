package trace

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Workload states what Make makes a trace of. It is written in TOML.
type Workload struct {
	Name          string      `toml:"name"`
	Seconds       float64     `toml:"seconds"`
	WarmupSeconds float64     `toml:"warmup_seconds"`
	Fleet         Fleet       `toml:"fleet"`
	Workspaces    []Workspace `toml:"workspaces"`
	Swing         Swing       `toml:"swing"`
	// ShiftSeconds is when the hot prefixes change without warning.
	ShiftSeconds float64 `toml:"shift_seconds"`
	Flows        []Flow  `toml:"flows"`
}

// Swing is how demand moves. Every EverySeconds there is a crest of
// CrestSeconds with Crest times the mean rate, then a trough of as long with
// Trough times it.
type Swing struct {
	EverySeconds float64 `toml:"every_seconds"`
	CrestSeconds float64 `toml:"crest_seconds"`
	Crest        float64 `toml:"crest"`
	Trough       float64 `toml:"trough"`
}

// Flow is requests of one sort.
type Flow struct {
	Name string `toml:"name"`
	// Rate is the mean number of requests a second.
	Rate            float64        `toml:"rate"`
	Class           hbs.RouteClass `toml:"class"`
	Work            Work           `toml:"work"`
	Priority        hbs.Priority   `toml:"priority"`
	DeadlineSeconds float64        `toml:"deadline_seconds"`

	Model hbs.ModelName `toml:"model"`
	// Levels are the nested segments of a prompt, outermost first.
	Levels []PromptLevel `toml:"levels"`
	// Turns is the mean number of requests of one conversation. Each later one
	// repeats the prompt of the one before and adds TurnTokens.
	Turns      float64 `toml:"turns"`
	TurnTokens int     `toml:"turn_tokens"`
	// OutputMin and OutputMax bound the length of answers.
	OutputMin int `toml:"output_min"`
	OutputMax int `toml:"output_max"`
	// WholeShare is the part that is not streamed, LeaveShare that whose caller
	// leaves early.
	WholeShare float64 `toml:"whole_share"`
	LeaveShare float64 `toml:"leave_share"`

	Service     hbs.ServiceName `toml:"service"`
	Method      string          `toml:"method"`
	Path        string          `toml:"path"`
	WorkSeconds float64         `toml:"work_seconds"`
	// KeyShare is the part of the calls that carry a key, AgainShare the part of
	// those that the caller sends twice.
	KeyShare   float64 `toml:"key_share"`
	AgainShare float64 `toml:"again_share"`
}

// PromptLevel is one level of nested prompt segments.
type PromptLevel struct {
	Name   string `toml:"name"`
	Tokens int    `toml:"tokens"`
	// Count is the number of different segments inside each one of the level
	// above; 0 makes a fresh one for each conversation.
	Count int `toml:"count"`
	// Hot is the part of the demand that goes to one of them.
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
