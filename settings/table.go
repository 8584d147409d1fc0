package settings

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Setting describes one key of the settings file.
type Setting struct {
	// Key is the dotted TOML key.
	Key string
	// Default is nil if the key is required or empty by default.
	Default any
	// Required keys must not be empty.
	Required bool
	// Min and Max are the inclusive bounds of numbers and of durations in seconds.
	Min, Max float64
	// Choices lists the allowed strings; empty allows all.
	Choices []string
	// Text describes the setting and its unit for operators.
	Text string

	// field returns a pointer to the setting's field.
	field func(*Settings) any
}

const (
	day = 24 * time.Hour
	kib = 1 << 10
	mib = 1 << 20
)

// Table lists all settings. docs/settings.md is generated from it.
var Table = []Setting{
	{Key: "instance.id", Required: true, Text: "Name of this instance, unique in the deployment.",
		field: func(s *Settings) any { return &s.Instance.ID }},
	{Key: "instance.domain", Required: true, Text: "Failure domain of this instance.",
		field: func(s *Settings) any { return &s.Instance.Domain }},
	{Key: "instance.region", Text: "Region of the failure domain. The network delay between domains of one region is about a millisecond.",
		field: func(s *Settings) any { return &s.Instance.Region }},
	{Key: "instance.holds", Default: ScopeAll, Choices: []string{string(ScopeAll), string(ScopeRegion)},
		Text:  "Endpoints whose records this instance stores: those of all regions, or those of its region and a few of the others as failover candidates. Change it only when all instances run a version that has the setting; see docs/operations/nodes.md.",
		field: func(s *Settings) any { return &s.Instance.Holds }},
	{Key: "listen.callers", Required: true, Text: "Address for callers, IP and port.",
		field: func(s *Settings) any { return &s.Listen.Callers }},
	{Key: "listen.peers", Required: true, Text: "Address for other instances, IP and port, reachable from them.",
		field: func(s *Settings) any { return &s.Listen.Peers }},
	{Key: "listen.operators", Required: true, Text: "Address for operators: health, metrics, status and error-budget burn; IP and port.",
		field: func(s *Settings) any { return &s.Listen.Operators }},
	{Key: "listen.max_body_bytes", Default: int64(4 * mib), Min: kib, Max: 64 * mib, Text: "Maximum size of a request's body, in bytes.",
		field: func(s *Settings) any { return &s.Listen.MaxBodyBytes }},
	{Key: "listen.memory_bytes", Default: int64(0), Min: 0, Max: 1 << 40,
		Text:  "Memory of the process, in bytes. Clients of all listeners together hold at most 0.4 of it; what exceeds that is refused. 0 takes what GOMEMLIMIT leaves room for, or half of the machine's memory if that is less.",
		field: func(s *Settings) any { return &s.Listen.MemoryBytes }},
	{Key: "listen.header_wait", Default: Duration(5 * time.Second), Min: 0.1, Max: 60, Text: "Timeout for reading a request's header.",
		field: func(s *Settings) any { return &s.Listen.HeaderWait }},
	{Key: "listen.body_wait", Default: Duration(20 * time.Second), Min: 0.1, Max: 600, Text: "Timeout for reading a request's body.",
		field: func(s *Settings) any { return &s.Listen.BodyWait }},
	{Key: "listen.write_wait", Default: Duration(20 * time.Second), Min: 0.1, Max: 600, Text: "Timeout of one write to a caller. A caller that exceeds it is treated as disconnected.",
		field: func(s *Settings) any { return &s.Listen.WriteWait }},
	{Key: "platform.address", Text: "Address of the platform's object API, IP and port. Without it the instance gets its data from peers and otherwise uses the floor configuration.",
		field: func(s *Settings) any { return &s.Platform.Address }},
	{Key: "platform.timeout", Default: Duration(time.Second), Min: 0.05, Max: 30, Text: "Timeout of one call to the platform.",
		field: func(s *Settings) any { return &s.Platform.Timeout }},
	{Key: "platform.reads_per_second", Default: 50.0, Min: 1, Max: 2000, Text: "Maximum rate of reads that this instance sends to the platform, per second.",
		field: func(s *Settings) any { return &s.Platform.ReadsPerSecond }},
	{Key: "platform.writes_per_second", Default: 40.0, Min: 1, Max: 1000, Text: "Maximum rate of writes that this instance sends to the platform, per second.",
		field: func(s *Settings) any { return &s.Platform.WritesPerSecond }},
	{Key: "peers.seeds", Text: "Addresses of peers to contact if the platform does not answer at startup, IP and port each.",
		field: func(s *Settings) any { return &s.Peers.Seeds }},
	{Key: "tls.certificate", Text: "File with this instance's certificate, PEM. Its URI is spiffe://TRUST_DOMAIN/instance/ID. The file is reloaded when it changes.",
		field: func(s *Settings) any { return &s.TLS.Certificate }},
	{Key: "tls.key", Text: "File with the certificate's private key, PEM.",
		field: func(s *Settings) any { return &s.TLS.Key }},
	{Key: "tls.authority", Text: "File with the certificate of the authority that signs all instances' certificates, PEM.",
		field: func(s *Settings) any { return &s.TLS.Authority }},
	{Key: "tls.trust_domain", Default: "hornbeamstage", Required: true, Text: "Trust domain in the URIs of the instances' certificates; the same for the whole deployment.",
		field: func(s *Settings) any { return &s.TLS.TrustDomain }},
	{Key: "tls.operators", Default: OperatorsPlain, Choices: []string{string(OperatorsPlain), string(OperatorsServer), string(OperatorsMutual)},
		Text:  "TLS mode of the operators' listener, which uses the files above. With mutual, all clients need a certificate of the authority, including health probes and metrics scrapers.",
		field: func(s *Settings) any { return &s.TLS.Operators }},
	{Key: "tls.allow_plain", Default: false, Text: "Allows connections between peers without TLS on addresses other than loopback.",
		field: func(s *Settings) any { return &s.TLS.AllowPlain }},
	{Key: "configuration.floor", Text: "File with the floor configuration: a fleet configuration (TOML) that is used until one is received from the platform or a peer.",
		field: func(s *Settings) any { return &s.Configuration.Floor }},
	{Key: "log.format", Default: "json", Choices: []string{"json", "console"}, Text: "Format of log lines.",
		field: func(s *Settings) any { return &s.Log.Format }},
	{Key: "log.level", Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Text: "Minimum level that is logged.",
		field: func(s *Settings) any { return &s.Log.Level }},
	{Key: "stop.linger", Default: Duration(3 * time.Second), Min: 0, Max: 300, Text: "Time for which a stopping instance still accepts requests, so that the load balancer can remove it first.",
		field: func(s *Settings) any { return &s.Stop.Linger }},
	{Key: "stop.grace", Default: Duration(10 * time.Minute), Min: 0, Max: day.Seconds(), Text: "Maximum time that a graceful stop waits for running requests.",
		field: func(s *Settings) any { return &s.Stop.Grace }},
}

// applyDefault sets the field in s to the default.
func (r *Setting) applyDefault(s *Settings) {
	switch p := r.field(s).(type) {
	case *int64:
		*p = r.Default.(int64)
	case *float64:
		*p = r.Default.(float64)
	case *Duration:
		*p = r.Default.(Duration)
	case *bool:
		*p = r.Default.(bool)
	case *string:
		*p = r.Default.(string)
	case *OperatorsTLS:
		*p = r.Default.(OperatorsTLS)
	case *EndpointScope:
		*p = r.Default.(EndpointScope)
	}
}

// validate returns an error if the value in s is missing or invalid.
func (r *Setting) validate(s *Settings) error {
	switch p := r.field(s).(type) {
	case *int64:
		return r.validateNumber(float64(*p))
	case *float64:
		return r.validateNumber(*p)
	case *Duration:
		return r.validateNumber(time.Duration(*p).Seconds())
	case *string:
		return r.validateText(*p)
	case *OperatorsTLS:
		return r.validateText(string(*p))
	case *EndpointScope:
		return r.validateText(string(*p))
	case *hbs.InstanceID:
		return r.validateText(string(*p))
	case *hbs.DomainName:
		return r.validateText(string(*p))
	case *netip.AddrPort:
		if r.Required && !p.IsValid() {
			return errors.New("is not set")
		}
	}
	return nil
}

func (r *Setting) validateNumber(v float64) error {
	inRange := v >= r.Min && v <= r.Max // false for NaN
	if !inRange {
		return errors.Newf("%g is not between %g and %g", v, r.Min, r.Max)
	}
	return nil
}

func (r *Setting) validateText(v string) error {
	if r.Required && v == "" {
		return errors.New("is not set")
	}
	if len(r.Choices) > 0 && !slices.Contains(r.Choices, v) {
		return errors.Newf("%q is not one of %s", v, strings.Join(r.Choices, ", "))
	}
	return nil
}

// WriteMarkdown writes the page of all settings in Markdown.
func WriteMarkdown(w io.Writer) (err error) {
	var b strings.Builder
	b.WriteString("# Settings\n\nThe settings file of one instance, in TOML. This page is generated from the table in package `settings`.\n\n")
	b.WriteString("| key | default | range | meaning |\n|---|---|---|---|\n")
	for _, row := range Table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", row.Key, row.defaultText(), row.rangeText(), row.Text)
	}
	_, err = io.WriteString(w, b.String())
	return errors.Wrap(err, "write settings page")
}

func (r *Setting) defaultText() string {
	switch v := r.Default.(type) {
	case nil:
		if r.Required {
			return "required"
		}
		return "empty"
	case Duration:
		return "`" + time.Duration(v).String() + "`"
	default:
		return fmt.Sprintf("`%v`", v)
	}
}

func (r *Setting) rangeText() string {
	if len(r.Choices) > 0 {
		return strings.Join(r.Choices, ", ")
	}
	if r.Max == 0 {
		return ""
	}
	if _, ok := r.Default.(Duration); ok {
		return fmt.Sprintf("%s to %s", secondsToDuration(r.Min), secondsToDuration(r.Max))
	}
	return fmt.Sprintf("%g to %g", r.Min, r.Max)
}

func secondsToDuration(v float64) time.Duration {
	return time.Duration(v * float64(time.Second))
}
