// Package lab plays a deployment: real daemons, the surroundings' stand-ins,
// targets and callers, with faults at stated times, and reports what happened.
package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/passtray/passtray/internal/node"
)

// Scenario is a deployment and what is done to it.
type Scenario struct {
	Region string   `yaml:"region"`
	Zones  []string `yaml:"zones"`
	// DaemonsPerZone is how many daemons stand in each zone.
	DaemonsPerZone int `yaml:"daemons_per_zone"`
	// ZoneDelay and ClientDelay are one way.
	ZoneDelay   time.Duration `yaml:"zone_delay"`
	ClientDelay time.Duration `yaml:"client_delay"`
	// PlatformLag is how far the machine list lags behind.
	PlatformLag time.Duration `yaml:"platform_lag"`
	// Duration is how long callers call.
	Duration time.Duration     `yaml:"duration"`
	Seed     uint64            `yaml:"seed"`
	Mode     node.SteeringMode `yaml:"mode"`
	Services []ScenarioService `yaml:"services"`
	Faults   []Fault           `yaml:"faults"`
}

// ScenarioService is one service, its targets and its callers.
type ScenarioService struct {
	Name     string `yaml:"name"`
	Priority string `yaml:"priority"`
	Targets  int    `yaml:"targets"`
	Slots    uint16 `yaml:"slots"`
	// Work is the mean time of a request at a target.
	Work       time.Duration `yaml:"work"`
	ColdFor    time.Duration `yaml:"cold_for"`
	ColdFactor float64       `yaml:"cold_factor"`
	ShedAbove  int32         `yaml:"shed_above"`
	// Liars is how many of the targets, from the first, report an empty house;
	// LoadLag is how old the others' reports may be.
	Liars   int           `yaml:"liars"`
	LoadLag time.Duration `yaml:"load_lag"`
	// The load.
	OncePerSecond    float64       `yaml:"once_per_second"`
	Feeds            int           `yaml:"feeds"`
	UploadsPerSecond float64       `yaml:"uploads_per_second"`
	UploadBytes      int           `yaml:"upload_bytes"`
	AnswerBytes      int           `yaml:"answer_bytes"`
	Deadline         time.Duration `yaml:"deadline"`
	FeedStall        time.Duration `yaml:"feed_stall"`
	NewFlowsLimit    uint32        `yaml:"new_flows_per_second"`
}

// FaultKind is what is done.
type FaultKind string

// The kinds of faults.
const (
	FaultKill          FaultKind = "kill"           // a daemon dies
	FaultJoin          FaultKind = "join"           // a new daemon joins
	FaultStop          FaultKind = "stop"           // a daemon is stopped in order
	FaultPause         FaultKind = "pause"          // a daemon's process is frozen for 9 s
	FaultDrain         FaultKind = "drain"          // a target is drained and ends
	FaultCrash         FaultKind = "crash"          // a target dies
	FaultAdd           FaultKind = "add"            // a cold target is added
	FaultWeight        FaultKind = "weight"         // a target's weight changes
	FaultCut           FaultKind = "cut"            // a daemon is cut from the others
	FaultHeal          FaultKind = "heal"           // all cuts end
	FaultPlatformDown  FaultKind = "platform-down"  // the platform's service fails
	FaultPlatformStale FaultKind = "platform-stale" // it answers with old news
	FaultPlatformUp    FaultKind = "platform-up"    // it is well again
)

var faultsWithDaemon = map[FaultKind]bool{FaultKill: true, FaultStop: true, FaultCut: true, FaultPause: true}

var faultsWithTarget = map[FaultKind]bool{FaultDrain: true, FaultCrash: true, FaultWeight: true}

var faultsWithService = map[FaultKind]bool{FaultAdd: true}

var faultsWithNothing = map[FaultKind]bool{
	FaultJoin: true, FaultHeal: true, FaultPlatformDown: true, FaultPlatformStale: true, FaultPlatformUp: true,
}

// Fault is one thing done at a time after the callers begin.
type Fault struct {
	At time.Duration `yaml:"at"`
	Do FaultKind     `yaml:"do"`
	// Daemon is a daemon's number from 0, Target "service/target".
	Daemon  int    `yaml:"daemon"`
	Target  string `yaml:"target"`
	Service string `yaml:"service"`
	Weight  uint32 `yaml:"weight"`
}

// String is the form that ParseFault reads.
func (f Fault) String() string {
	switch {
	case faultsWithDaemon[f.Do]:
		return fmt.Sprintf("%s:%s:%d", f.Do, f.At, f.Daemon)
	case faultsWithTarget[f.Do]:
		return fmt.Sprintf("%s:%s:%s", f.Do, f.At, f.Target)
	case faultsWithService[f.Do]:
		return fmt.Sprintf("%s:%s:%s", f.Do, f.At, f.Service)
	}
	return fmt.Sprintf("%s:%s", f.Do, f.At)
}

// ParseFault reads KIND:TIME[:ARGUMENT], such as kill:5s:2 or
// drain:10s:roster/roster-3.
func ParseFault(text string) (Fault, error) {
	parts := strings.SplitN(text, ":", 3)
	if len(parts) < 2 {
		return Fault{}, eris.Errorf("fault %q: must be KIND:TIME[:ARGUMENT]", text)
	}
	at, err := time.ParseDuration(parts[1])
	if err != nil {
		return Fault{}, eris.Errorf("fault %q: time %q must be such as 5s", text, parts[1])
	}
	fault := Fault{Do: FaultKind(parts[0]), At: at}
	argument := ""
	if len(parts) == 3 {
		argument = parts[2]
	}
	switch {
	case faultsWithDaemon[fault.Do]:
		if fault.Daemon, err = strconv.Atoi(argument); err != nil {
			return Fault{}, eris.Errorf("fault %q: daemon %q must be a number", text, argument)
		}
	case faultsWithTarget[fault.Do]:
		fault.Target = argument
		fault.Weight = 10
	case faultsWithService[fault.Do]:
		fault.Service = argument
	case !faultsWithNothing[fault.Do]:
		return Fault{}, eris.Errorf("fault %q: kind %q is unknown", text, parts[0])
	}
	return fault, nil
}

// LoadScenario reads and checks a scenario. An unknown field is an error that
// names the line.
func LoadScenario(path string) (*Scenario, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "scenario")
	}
	defer func() { _ = file.Close() }()
	scenario := &Scenario{Mode: node.ModeOwner, DaemonsPerZone: 2, Duration: 20 * time.Second}
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	if err := decoder.Decode(scenario); err != nil {
		return nil, eris.Wrapf(err, "scenario %s", path)
	}
	for index := range scenario.Services {
		scenario.Services[index].applyDefaults()
	}
	return scenario, eris.Wrapf(scenario.Check(), "scenario %s", path)
}

func (s *ScenarioService) applyDefaults() {
	setDefault(&s.Slots, 2)
	setDefault(&s.Work, 5*time.Millisecond)
	setDefault(&s.ColdFactor, 3)
	setDefault(&s.UploadBytes, 16<<10)
	setDefault(&s.AnswerBytes, 2<<10)
	setDefault(&s.Deadline, 5*time.Second)
	setDefault(&s.FeedStall, 8*time.Second)
	setDefault(&s.Priority, "standard")
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Check names the first field that cannot be.
func (s *Scenario) Check() error {
	switch {
	case len(s.Zones) == 0:
		return eris.New("zones: must name at least one")
	case s.DaemonsPerZone < 1 || s.DaemonsPerZone > 20:
		return eris.Errorf("daemons_per_zone: %d must be 1 to 20", s.DaemonsPerZone)
	case s.Duration < time.Second || s.Duration > time.Hour:
		return eris.Errorf("duration: %s must be 1s to 1h", s.Duration)
	case len(s.Services) == 0 || len(s.Services) > 20:
		return eris.Errorf("services: there are %d, must be 1 to 20", len(s.Services))
	}
	for _, service := range s.Services {
		if service.Targets < 1 || service.Targets > 100 {
			return eris.Errorf("services.%s.targets: %d must be 1 to 100", service.Name, service.Targets)
		}
	}
	for _, fault := range s.Faults {
		if _, err := ParseFault(fault.String()); err != nil {
			return err
		}
		if faultsWithDaemon[fault.Do] && (fault.Daemon < 0 || fault.Daemon >= len(s.Zones)*s.DaemonsPerZone) {
			return eris.Errorf("faults: %s: daemon %d must be 0 to %d", fault.Do, fault.Daemon, len(s.Zones)*s.DaemonsPerZone-1)
		}
	}
	return nil
}
