package replay

import (
	"bytes"
	"os"
	"path"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of fault. Target is a path.Match pattern of endpoint, instance,
// model or domain names; Count limits how many of the matches are struck.
const (
	// FaultEngineCrash: the engine goes down for ForSeconds and comes back empty.
	FaultEngineCrash FaultKind = "engine_crash"
	// FaultEngineSlow: Factor times slower for ForSeconds.
	FaultEngineSlow FaultKind = "engine_slow"
	// FaultEngineLate: answers are held back by ExtraSeconds for ForSeconds.
	FaultEngineLate FaultKind = "engine_late"
	// FaultEngineCross: the next Times answers are those of other attempts.
	FaultEngineCross FaultKind = "engine_cross"
	// FaultEngineBreak: the next Times streams lose their connection in the middle.
	FaultEngineBreak FaultKind = "engine_break"
	// FaultEngineFail: 500 to everything for ForSeconds.
	FaultEngineFail FaultKind = "engine_fail"
	// FaultEventsLost: a Share of the cache events is lost from now on.
	FaultEventsLost FaultKind = "events_lost"
	// FaultLoadLag: load reports are ExtraSeconds older from now on.
	FaultLoadLag FaultKind = "load_lag"
	// FaultServiceCrash: the replica is down for ForSeconds.
	FaultServiceCrash FaultKind = "service_crash"
	// FaultServiceSlow: Factor times slower for ForSeconds.
	FaultServiceSlow FaultKind = "service_slow"
	// FaultServiceFailAfterRun: the next Times calls fail after they ran.
	FaultServiceFailAfterRun FaultKind = "service_fail_after_run"
	// FaultServiceDieAfterRun: the connection of the next Times calls dies after they ran.
	FaultServiceDieAfterRun FaultKind = "service_die_after_run"
	// FaultInstanceKill: the process dies and a new one starts after ForSeconds.
	FaultInstanceKill FaultKind = "instance_kill"
	// FaultInstanceStop: a graceful stop; a new process starts ForSeconds after its end.
	FaultInstanceStop FaultKind = "instance_stop"
	// FaultPlatformOutage: the platform is down for ForSeconds.
	FaultPlatformOutage FaultKind = "platform_outage"
	// FaultPlatformSlow: calls take ExtraSeconds longer for ForSeconds.
	FaultPlatformSlow FaultKind = "platform_slow"
	// FaultPlatformLostAnswers: a Share of the writes lose their answer for ForSeconds.
	FaultPlatformLostAnswers FaultKind = "platform_lost_answers"
	// FaultDomainCut: the domain reaches neither other domains nor the platform
	// for ForSeconds. Callers still reach it.
	FaultDomainCut FaultKind = "domain_cut"
	// FaultPlatformCut: the domain does not reach the platform for ForSeconds.
	FaultPlatformCut FaultKind = "platform_cut"
	// FaultKeptStoreOutage: the store of kept KV cache is down for ForSeconds and
	// empty after it.
	FaultKeptStoreOutage FaultKind = "kept_store_outage"
	// FaultKeptStoreSlow: transfers to and from the store of kept KV cache take
	// Factor times longer for ForSeconds.
	FaultKeptStoreSlow FaultKind = "kept_store_slow"
	// FaultEndpointLeaving: the platform lists the endpoint as leaving and, after
	// ForSeconds, removes it.
	FaultEndpointLeaving FaultKind = "endpoint_leaving"
	// FaultWeightsChange: the configuration wants Weights for the target model.
	FaultWeightsChange FaultKind = "weights_change"
	// FaultConfigChange: the configuration gets a new workspace, whose key is
	// tried at every instance from then on.
	FaultConfigChange FaultKind = "config_change"
	// FaultWorkspaceLimit: the configuration limits the target workspaces to
	// RequestsPerSecond and Concurrency for ForSeconds, or to the end.
	FaultWorkspaceLimit FaultKind = "workspace_limit"
	// FaultEntryLopsided: a Share of the arrivals goes to the target instance
	// for ForSeconds, or to the end; the rest rotates as before.
	FaultEntryLopsided FaultKind = "entry_lopsided"
	// FaultInstanceStall: the instance is frozen for ForSeconds, once it holds
	// what Holds names. Where instances are not processes of their own, all bytes
	// from and to it are held, and its timers go on.
	FaultInstanceStall FaultKind = "instance_stall"
	// FaultWorkspaceSurge: the target workspace sends Factor times as much for
	// ForSeconds, or to the end.
	FaultWorkspaceSurge FaultKind = "workspace_surge"
)

// Fault is one thing that goes wrong at a time.
type Fault struct {
	AtSeconds    float64            `toml:"at_seconds"`
	Kind         FaultKind          `toml:"kind"`
	Target       string             `toml:"target"`
	Count        int                `toml:"count"`
	ForSeconds   float64            `toml:"for_seconds"`
	ExtraSeconds float64            `toml:"extra_seconds"`
	Factor       float64            `toml:"factor"`
	Share        float64            `toml:"share"`
	Times        int                `toml:"times"`
	Weights      hbs.WeightsVersion `toml:"weights"`
	// Holds restricts a stall to instances that hold it; empty is any.
	Holds Holding `toml:"holds"`
	// RequestsPerSecond and Concurrency are a workspace's limits; 0 is none.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	Concurrency       int     `toml:"concurrency"`
}

// ReadFaults reads a faults file.
func ReadFaults(name string) (faults []Fault, err error) {
	defer func() { err = errors.Wrapf(err, "faults %s", name) }()
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var file struct {
		Faults []Fault `toml:"faults"`
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return file.Faults, dec.Decode(&file)
}

func (f *Fault) duration() time.Duration { return trace.Seconds(f.ForSeconds) }

// matches reports whether name is struck; *left counts down from Count.
func (f *Fault) matches(name string, left *int) bool {
	if *left == 0 {
		return false
	}
	ok, err := path.Match(f.Target, name)
	if !ok || err != nil {
		return false
	}
	*left--
	return true
}

// limit is the start value for matches: Count, or no limit.
func (f *Fault) limit() int {
	if f.Count == 0 {
		return -1
	}
	return f.Count
}

// targets returns those of all whose names are struck, in their order.
func targets[T any](f Fault, all []T, name func(T) string) (struck []T) {
	left := f.limit()
	for _, t := range all {
		if f.matches(name(t), &left) {
			struck = append(struck, t)
		}
	}
	return struck
}

var errNoTarget = errors.New("no such target")
