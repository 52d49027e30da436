// Package settings reads and checks a daemon's settings: a YAML file, over which
// flags may set single fields. Every fault is reported at once, each with its
// field and value.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
	"github.com/rotisserie/eris"
)

// Settings is everything a daemon is told at its start.
type Settings struct {
	// Region is the group this daemon joins; daemons of one region talk to
	// each other all the time.
	Region string `koanf:"region" validate:"required,max=63"`
	// Zone is where the machine stands; voters are spread over zones.
	Zone string `koanf:"zone" validate:"required,max=63"`
	// Control is the address other daemons speak to, UDP and TCP.
	Control netip.AddrPort `koanf:"control" validate:"address"`
	// Operator is the address of the operators' interface, gRPC over TLS.
	Operator netip.AddrPort `koanf:"operator" validate:"address"`
	// Telemetry is the address of metrics and health, plain HTTP.
	Telemetry netip.AddrPort `koanf:"telemetry" validate:"address"`
	Data      Data           `koanf:"data"`
	// Direct are addresses callers reach without a fabric.
	Direct []Direct `koanf:"direct" validate:"dive"`
	// Peers is a fixed machine list: control addresses of daemons.
	Peers []netip.AddrPort `koanf:"peers" validate:"dive,address"`
	// Platform is where the machine list and the configuration document can be
	// read.
	Platform Platform `koanf:"platform"`
	TLS      TLS      `koanf:"tls"`
	// Keyring holds the connection-ID keys, FleetKey the keys of sealed control
	// datagrams.
	Keyring  string `koanf:"keyring" validate:"required"`
	FleetKey string `koanf:"fleet_key" validate:"required"`
	// Voters is how many daemons vote on the configuration.
	Voters int `koanf:"voters" validate:"oneof=1 3 5"`
	// Lease is how long the configuration counts as confirmed.
	Lease time.Duration `koanf:"lease" validate:"min=2s,max=5m"`
	Drain Drain         `koanf:"drain"`
	Log   Log           `koanf:"log"`
}

// Data is the data path's sockets and bounds.
type Data struct {
	// Backend is the address towards targets and other daemons.
	Backend netip.AddrPort `koanf:"backend" validate:"address"`
	// Fabric is the address the fabric sends to, if there is one.
	Fabric netip.AddrPort `koanf:"fabric"`
	// FabricEgress is where replies to callers go, required with Fabric.
	FabricEgress netip.AddrPort `koanf:"fabric_egress" validate:"required_with_fabric"`
	// FabricSources are the networks the fabric sends from; empty trusts the
	// network of Fabric.
	FabricSources []netip.Prefix `koanf:"fabric_sources"`
	// Workers is how many sockets, each with a goroutine, serve each address.
	Workers int `koanf:"workers" validate:"min=1,max=64"`
	// NewFlowsPerSecond is how many new flows this daemon admits, over all
	// services; near it, bulk flows are refused first, then standard ones. 0 is
	// no limit.
	NewFlowsPerSecond int `koanf:"new_flows_per_second" validate:"min=0,max=10000000"`
	// Pins bounds the flows remembered during their handshake, UDPFlows the
	// plain UDP flows.
	Pins     int `koanf:"pins" validate:"min=1024,max=10000000"`
	UDPFlows int `koanf:"udp_flows" validate:"min=1024,max=10000000"`
	// UDPIdle is after how long of silence a plain UDP flow is forgotten.
	UDPIdle time.Duration `koanf:"udp_idle" validate:"min=1s,max=24h"`
}

// Direct serves one service address at an address of this machine.
type Direct struct {
	Listen  netip.AddrPort `koanf:"listen" validate:"address"`
	Service netip.AddrPort `koanf:"service" validate:"address"`
}

// Platform is the read-only service of the environment.
type Platform struct {
	// URL is its base, such as http://192.0.2.5:8080; empty for none. The host
	// must be an IP address.
	URL string `koanf:"url" validate:"omitempty,ip_url"`
	// Interval is how often it is read.
	Interval time.Duration `koanf:"interval" validate:"min=200ms,max=10m"`
}

// TLS names PEM files.
type TLS struct {
	Authority   string `koanf:"authority" validate:"required"`
	Certificate string `koanf:"certificate" validate:"required"`
	Key         string `koanf:"key" validate:"required"`
}

// Drain bounds a planned stop.
type Drain struct {
	// Quiet is how long no packet must have come before the daemon exits.
	Quiet time.Duration `koanf:"quiet" validate:"min=0s,max=10m"`
	// Maximum is when it exits at the latest.
	Maximum time.Duration `koanf:"maximum" validate:"min=0s,max=24h"`
}

// Log says how to log.
type Log struct {
	Level  string `koanf:"level" validate:"oneof=error info debug"`
	Format string `koanf:"format" validate:"oneof=json console"`
}

// Default returns the settings that stand where nothing is said.
func Default() Settings {
	return Settings{
		Data:     Data{Workers: 2, Pins: 65536, UDPFlows: 300_000, UDPIdle: 10 * time.Minute},
		Platform: Platform{Interval: 2 * time.Second},
		Voters:   3,
		Lease:    15 * time.Second,
		Drain:    Drain{Quiet: 3 * time.Second, Maximum: 10 * time.Minute},
		Log:      Log{Level: "info", Format: "json"},
	}
}

// Faults is every fault of a settings file.
type Faults []string

// Error lists the faults, one a line.
func (f Faults) Error() string {
	return fmt.Sprintf("%d fault(s) in the settings:\n  %s", len(f), strings.Join(f, "\n  "))
}

// Load reads a file, lets overrides (dotted field names) replace fields, and
// checks the result. The error is a Faults where the content is at fault.
func Load(path string, overrides map[string]any) (Settings, error) {
	loaded := Default()
	source := koanf.New(".")
	if path != "" {
		if err := source.Load(file.Provider(path), yaml.Parser()); err != nil {
			return loaded, eris.Wrapf(err, "settings %s", path)
		}
	}
	if err := source.Load(confmap.Provider(overrides, "."), nil); err != nil {
		return loaded, eris.Wrap(err, "settings from flags")
	}
	var metadata mapstructure.Metadata
	err := source.UnmarshalWithConf("", &loaded, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		Result:           &loaded,
		Metadata:         &metadata,
		TagName:          "koanf",
		WeaklyTypedInput: true,
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.TextUnmarshallerHookFunc(),
		),
	}})
	faults := unknownFields(metadata.Unused)
	if err != nil {
		return loaded, append(faults, decodeFaults(err)...)
	}
	faults = append(faults, loaded.check()...)
	if len(faults) > 0 {
		return loaded, faults
	}
	return loaded, nil
}

func unknownFields(names []string) Faults {
	var faults Faults
	slices.Sort(names)
	for _, name := range names {
		faults = append(faults, name+": no such field")
	}
	return faults
}

// decodeFaults takes the decoder's list apart.
func decodeFaults(err error) Faults {
	var faults Faults
	for _, line := range strings.Split(err.Error(), "\n") {
		line = strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(line), "* "))
		if line != "" && !strings.HasSuffix(line, "error(s) decoding:") && !strings.HasPrefix(line, "decoding failed") {
			faults = append(faults, line+" (addresses are an IP address and a port, such as 192.0.2.1:7000)")
		}
	}
	return faults
}

func (s *Settings) check() Faults {
	checker := validator.New(validator.WithRequiredStructEnabled())
	registerChecks(checker)
	var faults Faults
	if err := checker.Struct(s); err != nil {
		var found validator.ValidationErrors
		if !eris.As(err, &found) {
			return Faults{err.Error()}
		}
		for _, fault := range found {
			faults = append(faults, describe(fault))
		}
	}
	return append(faults, s.checkDistinct()...)
}

func registerChecks(checker *validator.Validate) {
	checker.RegisterTagNameFunc(fieldName)
	rules := map[string]validator.Func{
		"address": func(level validator.FieldLevel) bool {
			address, valid := level.Field().Interface().(netip.AddrPort)
			return valid && address.IsValid() && address.Port() != 0 && !address.Addr().IsUnspecified()
		},
		"required_with_fabric": func(level validator.FieldLevel) bool {
			data, valid := level.Parent().Interface().(Data)
			return valid && (!data.Fabric.IsValid() || data.FabricEgress.IsValid())
		},
		"ip_url": func(level validator.FieldLevel) bool {
			parsed, err := url.Parse(level.Field().String())
			if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
				return false
			}
			_, err = netip.ParseAddr(parsed.Hostname())
			return err == nil
		},
	}
	for tag, rule := range rules {
		// Registration fails only for an empty tag.
		_ = checker.RegisterValidation(tag, rule, true)
	}
}

func (s *Settings) checkDistinct() Faults {
	var faults Faults
	taken := map[netip.AddrPort]string{}
	claim := func(field string, address netip.AddrPort) {
		if !address.IsValid() {
			return
		}
		if other, exists := taken[address]; exists {
			faults = append(faults, fmt.Sprintf("%s: %s is already %s", field, address, other))
			return
		}
		taken[address] = field
	}
	claim("control", s.Control)
	claim("operator", s.Operator)
	claim("telemetry", s.Telemetry)
	claim("data.backend", s.Data.Backend)
	claim("data.fabric", s.Data.Fabric)
	for index, direct := range s.Direct {
		claim(fmt.Sprintf("direct[%d].listen", index), direct.Listen)
	}
	return faults
}
