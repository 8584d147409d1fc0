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

// Setting documents one key of the settings file. Exactly one of the field
// functions of a row is set.
type Setting struct {
	// Key is the dotted TOML key.
	Key string
	// Default is nil when the key has to be set or is empty.
	Default any
	// Required keys have no usable default.
	Required bool
	// Min and Max bound numbers and durations (in seconds).
	Min, Max float64
	// Choices bounds texts when not empty.
	Choices []string
	// Text tells an operator what the value does, with its unit.
	Text string

	field func(*Settings) any
}

const (
	day = 24 * time.Hour
	kib = 1 << 10
	mib = 1 << 20
)

// Table lists all settings. docs/settings.md is made from it.
var Table = []Setting{
	{Key: "instance.id", Required: true, Text: "Name of this instance, unique in the deployment.",
		field: func(s *Settings) any { return &s.Instance.ID }},
	{Key: "instance.domain", Required: true, Text: "Failure domain of this instance.",
		field: func(s *Settings) any { return &s.Instance.Domain }},
	{Key: "instance.region", Text: "Region of the failure domain; domains of one region are about a millisecond apart.",
		field: func(s *Settings) any { return &s.Instance.Region }},
	{Key: "instance.holds", Default: HoldAll, Choices: []string{string(HoldAll), string(HoldRegion)},
		Text:  "Endpoints that this instance keeps: those of all regions, or those of its region and a few spares of the others. Change it only when all instances know the setting; docs/operations/nodes.md.",
		field: func(s *Settings) any { return &s.Instance.Holds }},
	{Key: "listen.callers", Required: true, Text: "Address for callers, IP and port.",
		field: func(s *Settings) any { return &s.Listen.Callers }},
	{Key: "listen.peers", Required: true, Text: "Address for other instances, IP and port, reachable from them.",
		field: func(s *Settings) any { return &s.Listen.Peers }},
	{Key: "listen.operators", Required: true, Text: "Address for health, metrics, status and burn, IP and port.",
		field: func(s *Settings) any { return &s.Listen.Operators }},
	{Key: "listen.max_body_bytes", Default: int64(4 * mib), Min: kib, Max: 64 * mib, Text: "Largest body of a caller's request, in bytes.",
		field: func(s *Settings) any { return &s.Listen.MaxBodyBytes }},
	{Key: "listen.header_wait", Default: Duration(5 * time.Second), Min: 0.1, Max: 60, Text: "Time a caller has to send the request's header.",
		field: func(s *Settings) any { return &s.Listen.HeaderWait }},
	{Key: "listen.body_wait", Default: Duration(20 * time.Second), Min: 0.1, Max: 600, Text: "Time a caller has to send the request's body.",
		field: func(s *Settings) any { return &s.Listen.BodyWait }},
	{Key: "listen.write_wait", Default: Duration(20 * time.Second), Min: 0.1, Max: 600, Text: "Time one write to a caller may block before the caller counts as gone.",
		field: func(s *Settings) any { return &s.Listen.WriteWait }},
	{Key: "platform.address", Text: "Address of the platform's object API, IP and port. Without it the instance runs on peers and the floor configuration.",
		field: func(s *Settings) any { return &s.Platform.Address }},
	{Key: "platform.timeout", Default: Duration(time.Second), Min: 0.05, Max: 30, Text: "Time one platform call may take.",
		field: func(s *Settings) any { return &s.Platform.Timeout }},
	{Key: "platform.reads_per_second", Default: 50.0, Min: 1, Max: 2000, Text: "Most reads this instance sends to the platform, per second.",
		field: func(s *Settings) any { return &s.Platform.ReadsPerSecond }},
	{Key: "platform.writes_per_second", Default: 40.0, Min: 1, Max: 1000, Text: "Most writes this instance sends to the platform, per second.",
		field: func(s *Settings) any { return &s.Platform.WritesPerSecond }},
	{Key: "peers.seeds", Text: "Peer addresses to ask when the platform does not answer at start, IP and port each.",
		field: func(s *Settings) any { return &s.Peers.Seeds }},
	{Key: "tls.certificate", Text: "File of this instance's certificate, PEM. It names the instance by the URI spiffe://TRUST_DOMAIN/instance/ID. Read again when it changes.",
		field: func(s *Settings) any { return &s.TLS.Certificate }},
	{Key: "tls.key", Text: "File of the certificate's key, PEM.",
		field: func(s *Settings) any { return &s.TLS.Key }},
	{Key: "tls.authority", Text: "File of the authority that signs all instances' certificates, PEM.",
		field: func(s *Settings) any { return &s.TLS.Authority }},
	{Key: "tls.trust_domain", Default: "hornbeamstage", Required: true, Text: "Trust domain in the URIs by which certificates name instances; the same for the whole deployment.",
		field: func(s *Settings) any { return &s.TLS.TrustDomain }},
	{Key: "tls.operators", Default: OperatorsPlain, Choices: []string{string(OperatorsPlain), string(OperatorsServer), string(OperatorsMutual)},
		Text:  "TLS of the operators' listener with the files above. With mutual, callers need a certificate of the authority, also those that probe health and read metrics.",
		field: func(s *Settings) any { return &s.TLS.Operators }},
	{Key: "tls.allow_plain", Default: false, Text: "Lets peers talk without TLS on addresses other than loopback.",
		field: func(s *Settings) any { return &s.TLS.AllowPlain }},
	{Key: "configuration.floor", Text: "File of a first fleet configuration (TOML) for a start without platform and peers.",
		field: func(s *Settings) any { return &s.Configuration.Floor }},
	{Key: "log.format", Default: "json", Choices: []string{"json", "console"}, Text: "Form of log lines.",
		field: func(s *Settings) any { return &s.Log.Format }},
	{Key: "log.level", Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Text: "Lowest level that is logged.",
		field: func(s *Settings) any { return &s.Log.Level }},
	{Key: "stop.linger", Default: Duration(3 * time.Second), Min: 0, Max: 300, Text: "Time a stopping instance still takes requests, so that the balancer notices first.",
		field: func(s *Settings) any { return &s.Stop.Linger }},
	{Key: "stop.grace", Default: Duration(10 * time.Minute), Min: 0, Max: day.Seconds(), Text: "Time a graceful stop waits for running requests.",
		field: func(s *Settings) any { return &s.Stop.Grace }},
}

// apply sets the row's default in s.
func (r *Setting) apply(s *Settings) {
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
	case *Holding:
		*p = r.Default.(Holding)
	}
}

// check reports whether the row's value in s is out of range.
func (r *Setting) check(s *Settings) error {
	switch p := r.field(s).(type) {
	case *int64:
		return r.checkNumber(float64(*p))
	case *float64:
		return r.checkNumber(*p)
	case *Duration:
		return r.checkNumber(time.Duration(*p).Seconds())
	case *string:
		return r.checkText(*p)
	case *OperatorsTLS:
		return r.checkText(string(*p))
	case *Holding:
		return r.checkText(string(*p))
	case *hbs.InstanceID:
		return r.checkText(string(*p))
	case *hbs.DomainName:
		return r.checkText(string(*p))
	case *netip.AddrPort:
		if r.Required && !p.IsValid() {
			return errors.New("is not set")
		}
	}
	return nil
}

func (r *Setting) checkNumber(v float64) error {
	inRange := v >= r.Min && v <= r.Max // false for NaN
	if !inRange {
		return errors.Newf("%g is not between %g and %g", v, r.Min, r.Max)
	}
	return nil
}

func (r *Setting) checkText(v string) error {
	if r.Required && v == "" {
		return errors.New("is not set")
	}
	if len(r.Choices) > 0 && !slices.Contains(r.Choices, v) {
		return errors.Newf("%q is not one of %s", v, strings.Join(r.Choices, ", "))
	}
	return nil
}

// WriteMarkdown writes the settings page.
func WriteMarkdown(w io.Writer) (err error) {
	var b strings.Builder
	b.WriteString("# Settings\n\nThe settings file of one instance, in TOML. This page is made from the table in package `settings`.\n\n")
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
		return fmt.Sprintf("%s to %s", seconds(r.Min), seconds(r.Max))
	}
	return fmt.Sprintf("%g to %g", r.Min, r.Max)
}

func seconds(v float64) time.Duration {
	return time.Duration(v * float64(time.Second))
}
