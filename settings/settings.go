// Package settings reads the local settings of one instance: its ID and failure
// domain, addresses, platform access, TLS files, logging and shutdown times.
// Everything else is fleet configuration, which package config implements.
package settings

import (
	"bytes"
	"encoding"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Duration is a time.Duration whose text form is that of time.ParseDuration, such
// as "1.5s".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// OperatorsTLS is the TLS mode of the operators' listener. It uses the certificate,
// key and authority of the connections between instances.
type OperatorsTLS string

// The TLS modes of the operators' listener.
const (
	// OperatorsPlain is HTTP without TLS.
	OperatorsPlain OperatorsTLS = "off"
	// OperatorsServer presents the instance's certificate and requires none of the
	// client.
	OperatorsServer OperatorsTLS = "server"
	// OperatorsMutual also requires a client certificate signed by the authority.
	OperatorsMutual OperatorsTLS = "mutual"
)

// EndpointScope selects the endpoints whose records an instance stores.
type EndpointScope string

// The selections of endpoints.
const (
	// ScopeAll selects the endpoints of all regions.
	ScopeAll EndpointScope = "all"
	// ScopeRegion selects the endpoints of the instance's region and a few of other
	// regions as failover candidates.
	ScopeRegion EndpointScope = "region"
)

// Settings are the settings of one instance. Table documents each of them.
type Settings struct {
	Instance struct {
		ID     hbs.InstanceID `toml:"id"`
		Domain hbs.DomainName `toml:"domain"`
		Region hbs.RegionName `toml:"region"`
		// Holds selects the endpoints whose records the instance stores.
		Holds EndpointScope `toml:"holds"`
	} `toml:"instance"`
	Listen struct {
		Callers      netip.AddrPort `toml:"callers"`
		Peers        netip.AddrPort `toml:"peers"`
		Operators    netip.AddrPort `toml:"operators"`
		MaxBodyBytes int64          `toml:"max_body_bytes"`
		MemoryBytes  int64          `toml:"memory_bytes"`
		HeaderWait   Duration       `toml:"header_wait"`
		BodyWait     Duration       `toml:"body_wait"`
		WriteWait    Duration       `toml:"write_wait"`
	} `toml:"listen"`
	Platform struct {
		Address         netip.AddrPort `toml:"address"`
		Timeout         Duration       `toml:"timeout"`
		ReadsPerSecond  float64        `toml:"reads_per_second"`
		WritesPerSecond float64        `toml:"writes_per_second"`
	} `toml:"platform"`
	Peers struct {
		Seeds []netip.AddrPort `toml:"seeds"`
	} `toml:"peers"`
	TLS struct {
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
		Authority   string `toml:"authority"`
		TrustDomain string `toml:"trust_domain"`
		AllowPlain  bool   `toml:"allow_plain"`
		// Operators is the TLS mode of the operators' listener.
		Operators OperatorsTLS `toml:"operators"`
	} `toml:"tls"`
	Configuration struct {
		Floor string `toml:"floor"`
	} `toml:"configuration"`
	Log struct {
		Format string `toml:"format"`
		Level  string `toml:"level"`
	} `toml:"log"`
	Stop struct {
		Linger Duration `toml:"linger"`
		Grace  Duration `toml:"grace"`
	} `toml:"stop"`
}

// Defaults returns the default settings, as listed in Table.
func Defaults() Settings {
	var s Settings
	for _, row := range Table {
		if row.Default != nil {
			row.applyDefault(&s)
		}
	}
	return s
}

// Read reads and validates the settings in file.
func Read(file string) (s Settings, err error) {
	defer func() { err = errors.Wrapf(err, "settings file %s", file) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Decode(data)
}

// Decode parses and validates settings in TOML. The error lists every unknown key
// with its line, or every invalid value. A syntax or type error is reported alone.
func Decode(data []byte) (s Settings, err error) {
	s = Defaults()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, formatDecodeError(err)
	}
	if err := s.Validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Validate returns an error that lists every missing or invalid setting.
func (s *Settings) Validate() error {
	var errs error
	for _, row := range Table {
		if err := row.validate(s); err != nil {
			errs = errors.Join(errs, errors.Newf("%s: %v", row.Key, err))
		}
	}
	if s.TLS.Operators != OperatorsPlain && s.TLS.Certificate == "" {
		errs = errors.Join(errs, errors.New("tls.operators: needs tls.certificate, tls.key and tls.authority"))
	}
	if s.Instance.Holds == ScopeRegion && s.Instance.Region == "" {
		errs = errors.Join(errs, errors.New("instance.holds: needs instance.region"))
	}
	return errs
}

// formatDecodeError adds the line and the key to an error of the TOML decoder.
func formatDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.Newf("unknown keys:\n%s", strict.String())
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		return errors.Newf("line %d, column %d: %s: %s", line, column, key, decodeErr.Error())
	}
	return err
}

// Self returns the record of this instance, in the live state.
func (s *Settings) Self() hbs.Instance {
	return hbs.Instance{
		ID:              s.Instance.ID,
		Domain:          s.Instance.Domain,
		Region:          s.Instance.Region,
		CallerAddress:   s.Listen.Callers,
		PeerAddress:     s.Listen.Peers,
		OperatorAddress: s.Listen.Operators,
		State:           hbs.InstanceLive,
	}
}
