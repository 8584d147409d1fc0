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

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault. Target is a path.Match pattern for the names of endpoints,
// instances or workspaces, or else the name of a model or failure domain. Count, if
// not 0, limits how many of the matches are affected.
const (
	// FaultEngineCrash: the engine is down for ForSeconds and restarts with an
	// empty cache.
	FaultEngineCrash FaultKind = "engine_crash"
	// FaultEngineSlow: the engine is slower by Factor for ForSeconds.
	FaultEngineSlow FaultKind = "engine_slow"
	// FaultEngineLate: answers are delayed by ExtraSeconds for ForSeconds.
	FaultEngineLate FaultKind = "engine_late"
	// FaultEngineCross: the next Times answers are those to other attempts.
	FaultEngineCross FaultKind = "engine_cross"
	// FaultEngineBreak: the next Times streams lose their connection midway.
	FaultEngineBreak FaultKind = "engine_break"
	// FaultEngineFail: the engine answers 500 to all requests for ForSeconds.
	FaultEngineFail FaultKind = "engine_fail"
	// FaultEngineEndless: the engine answers everything with bytes that never end,
	// for ForSeconds.
	FaultEngineEndless FaultKind = "engine_endless"
	// FaultEventsLost: a Share of the cache events is lost, until the end.
	FaultEventsLost FaultKind = "events_lost"
	// FaultLoadLag: load reports are older by ExtraSeconds, until the end.
	FaultLoadLag FaultKind = "load_lag"
	// FaultServiceCrash: the replica is down for ForSeconds.
	FaultServiceCrash FaultKind = "service_crash"
	// FaultServiceSlow: the replica is slower by Factor for ForSeconds.
	FaultServiceSlow FaultKind = "service_slow"
	// FaultServiceFailAfterRun: the next Times calls run and then return an error.
	FaultServiceFailAfterRun FaultKind = "service_fail_after_run"
	// FaultServiceDieAfterRun: the next Times calls run and then lose their
	// connection.
	FaultServiceDieAfterRun FaultKind = "service_die_after_run"
	// FaultServiceEndless: the replica executes no call for ForSeconds and answers
	// with bytes that never end.
	FaultServiceEndless FaultKind = "service_endless"
	// FaultInstanceKill: the process is killed; a new one starts ForSeconds after
	// its end.
	FaultInstanceKill FaultKind = "instance_kill"
	// FaultInstanceStop: the process stops gracefully; a new one starts ForSeconds
	// after its end.
	FaultInstanceStop FaultKind = "instance_stop"
	// FaultPlatformOutage: the platform is down for ForSeconds.
	FaultPlatformOutage FaultKind = "platform_outage"
	// FaultPlatformSlow: calls to the platform take ExtraSeconds longer for
	// ForSeconds.
	FaultPlatformSlow FaultKind = "platform_slow"
	// FaultPlatformLostAnswers: the answers to a Share of the writes to the platform
	// are lost for ForSeconds.
	FaultPlatformLostAnswers FaultKind = "platform_lost_answers"
	// FaultDomainCut: the domain can reach neither other domains nor the platform
	// for ForSeconds. Callers can still reach it.
	FaultDomainCut FaultKind = "domain_cut"
	// FaultPlatformCut: the domain can't reach the platform for ForSeconds.
	FaultPlatformCut FaultKind = "platform_cut"
	// FaultKeptStoreOutage: the shared KV cache store is down for ForSeconds and
	// empty afterwards.
	FaultKeptStoreOutage FaultKind = "kept_store_outage"
	// FaultKeptStoreSlow: transfers to and from the shared KV cache store take
	// Factor times as long for ForSeconds.
	FaultKeptStoreSlow FaultKind = "kept_store_slow"
	// FaultEndpointLeaving: the platform lists the endpoint as leaving and removes
	// it after ForSeconds, or never if that is 0.
	FaultEndpointLeaving FaultKind = "endpoint_leaving"
	// FaultWeightsChange: the configured weights of the target model become Weights.
	FaultWeightsChange FaultKind = "weights_change"
	// FaultConfigChange: a workspace is added to the configuration. From then on a
	// probe tries its key at every instance.
	FaultConfigChange FaultKind = "config_change"
	// FaultWorkspaceLimit: the target workspaces are limited to RequestsPerSecond
	// and Concurrency for ForSeconds, or until the end.
	FaultWorkspaceLimit FaultKind = "workspace_limit"
	// FaultEntryLopsided: the balancer sends a Share of the arrivals to the target
	// instance for ForSeconds, or until the end, and the others round-robin as
	// before.
	FaultEntryLopsided FaultKind = "entry_lopsided"
	// FaultInstanceStall: the instance is frozen for ForSeconds, as soon as it holds
	// what Holds names. If instances are not separate processes, only their network
	// traffic is held and their timers continue.
	FaultInstanceStall FaultKind = "instance_stall"
	// FaultWorkspaceSurge: the target workspace sends Factor times as many requests
	// for ForSeconds, or until the end.
	FaultWorkspaceSurge FaultKind = "workspace_surge"
)

// Fault is one fault to apply, with the parameters that its kind uses.
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
	// Holds restricts a stall to instances that hold this; empty is no restriction.
	Holds Holding `toml:"holds"`
	// RequestsPerSecond and Concurrency are the limits of a workspace; 0 is no
	// limit.
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

// matches reports whether the fault applies to name. It decrements *left, the
// number of further matches allowed, unless that is negative.
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

// limit returns the initial value of left for matches: Count, or -1 for no limit.
func (f *Fault) limit() int {
	if f.Count == 0 {
		return -1
	}
	return f.Count
}

// targets returns the elements of all to which the fault applies, in order.
func targets[T any](f Fault, all []T, name func(T) string) (affected []T) {
	left := f.limit()
	for _, t := range all {
		if f.matches(name(t), &left) {
			affected = append(affected, t)
		}
	}
	return affected
}

var errNoTarget = errors.New("no such target")
