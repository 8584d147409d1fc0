// Package settings reads the local settings of one instance: addresses,
// failure domain, platform and keys. All else is fleet configuration, which
// package config holds.
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

// Duration is a time.Duration that is written as text, such as "1.5s".
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

// OperatorsTLS is how the operators' listener uses the keys between instances.
type OperatorsTLS string

// The ways to serve operators.
const (
	// OperatorsPlain is HTTP without TLS.
	OperatorsPlain OperatorsTLS = "off"
	// OperatorsServer shows the instance's certificate and asks for none.
	OperatorsServer OperatorsTLS = "server"
	// OperatorsMutual asks callers for a certificate of the authority.
	OperatorsMutual OperatorsTLS = "mutual"
)

// Holding tells which endpoints an instance keeps.
type Holding string

// The ways to keep endpoints.
const (
	// HoldAll keeps those of all regions.
	HoldAll Holding = "all"
	// HoldRegion keeps those of the own region and a few spares of others.
	HoldRegion Holding = "region"
)

// Settings are the values of one instance. Table documents each.
type Settings struct {
	Instance struct {
		ID     hbs.InstanceID `toml:"id"`
		Domain hbs.DomainName `toml:"domain"`
		Region hbs.RegionName `toml:"region"`
		// Holds tells which endpoints the instance keeps.
		Holds Holding `toml:"holds"`
	} `toml:"instance"`
	Listen struct {
		Callers      netip.AddrPort `toml:"callers"`
		Peers        netip.AddrPort `toml:"peers"`
		Operators    netip.AddrPort `toml:"operators"`
		MaxBodyBytes int64          `toml:"max_body_bytes"`
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
		// Operators is how operators are served.
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

// Defaults returns the settings before a file is read. The values come from
// Table.
func Defaults() Settings {
	var s Settings
	for _, row := range Table {
		if row.Default != nil {
			row.apply(&s)
		}
	}
	return s
}

// Read reads and checks the settings in file.
func Read(file string) (s Settings, err error) {
	defer func() { err = errors.Wrapf(err, "settings file %s", file) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Decode(data)
}

// Decode reads and checks settings in TOML. The error names every unknown key
// with its line, or every value out of its range.
func Decode(data []byte) (s Settings, err error) {
	s = Defaults()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, describe(err)
	}
	if err := s.Validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Validate reports every setting that is out of its range.
func (s *Settings) Validate() error {
	var all error
	for _, row := range Table {
		if err := row.check(s); err != nil {
			all = errors.Join(all, errors.Newf("%s: %v", row.Key, err))
		}
	}
	if s.TLS.Operators != OperatorsPlain && s.TLS.Certificate == "" {
		all = errors.Join(all, errors.New("tls.operators: needs tls.certificate, tls.key and tls.authority"))
	}
	if s.Instance.Holds == HoldRegion && s.Instance.Region == "" {
		all = errors.Join(all, errors.New("instance.holds: needs instance.region"))
	}
	return all
}

func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.Newf("unknown keys:\n%s", strict.String())
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, column := bad.Position()
		key := strings.Join(bad.Key(), ".")
		return errors.Newf("line %d, column %d: %s: %s", line, column, key, bad.Error())
	}
	return err
}

// Self returns the instance record that the settings describe.
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
