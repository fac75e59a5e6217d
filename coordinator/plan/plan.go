// Package plan reads the installation plan of one coordinator: the JSON file that GW_CONFIG names, with its limits, its
// settings and the endpoint list as it was last known. It validates all that the coordinator and its balancer need, so
// that a faulty file ends the start and not a search.
package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"strconv"
	"strings"

	"chalkring/config/settings"
)

// minSockets is the least number of descriptors that a plan may grant: some for clients, for replicas and for discovery.
const minSockets = 16

// Faults of a plan as a whole.
var (
	ErrNotOneObject    = errors.New("not one JSON object")
	ErrInvalidLimits   = errors.New("limits: cores, memory_mb and sockets (16 at least) are needed")
	ErrMissingSettings = errors.New("settings are missing")
	ErrMissingKnown    = errors.New("known is missing")
)

// Plan is the configuration of one coordinator. It is read-only once it has been handed to a coordinator.
type Plan struct {
	Name       string // of the coordinator
	Listen     string // address for clients
	Discovery  string // address of the discovery service
	MaxSockets int    // descriptors that the coordinator may use
	MemoryMB   int    // mebibytes that it may use
	Cores      float64

	Seed           int64
	Settings       map[string]string // flattened, by dotted name, in the balancer's form
	ShadowSettings map[string]string // settings that decisions are compared with; nil for none
	Known          EndpointList      // the endpoint list as it was last known

	discoveryInFile string              // Discovery as the file has it, without the environment variable
	overrides       map[string]string   // settings that an installation file has put over the plan's
	namesInFile     map[string][]string // names as the file spells them, by list and position
}

// Parse reads a plan from JSON and validates it.
func Parse(text []byte) (*Plan, error) {
	object, err := DecodeObject(text)
	if err != nil {
		return nil, err
	}
	parsed := &Plan{Name: stringOf(object["name"]), Listen: stringOf(object["listen"]), Discovery: stringOf(object["discovery"])}
	parsed.discoveryInFile = parsed.Discovery
	seed, err := strconv.ParseUint(stringOf(object["seed"]), 16, 64)
	if err != nil {
		return nil, &InvalidSeedError{Seed: stringOf(object["seed"])}
	}
	parsed.Seed = int64(seed)
	if err := parsed.readLimits(object); err != nil {
		return nil, err
	}
	if err := parsed.readSettings(object); err != nil {
		return nil, err
	}
	known, ok := object["known"].(map[string]any)
	if !ok {
		return nil, ErrMissingKnown
	}
	if parsed.Known, err = NewEndpointList(known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return parsed, parsed.validate()
}

func (p *Plan) readLimits(object map[string]any) error {
	limits, _ := object["limits"].(map[string]any)
	cores, hasCores := numberOf(limits["cores"])
	memory, hasMemory := numberOf(limits["memory_mb"])
	sockets, hasSockets := numberOf(limits["sockets"])
	if !hasCores || !hasMemory || !hasSockets || cores <= 0 || memory < 1 || sockets < minSockets {
		return ErrInvalidLimits
	}
	p.Cores, p.MemoryMB, p.MaxSockets = cores, int(memory), int(sockets)
	return nil
}

func (p *Plan) readSettings(object map[string]any) error {
	values, ok := object["settings"].(map[string]any)
	if !ok {
		return ErrMissingSettings
	}
	p.Settings = map[string]string{}
	if err := settings.Flatten(p.Settings, "", values); err != nil {
		return err
	}
	return p.readNames(values)
}

// WithSettings returns a copy of the plan with an installation's settings over its own, and an error where the result
// is invalid.
func (p *Plan) WithSettings(overrides map[string]string) (*Plan, error) {
	own := *p
	own.overrides, own.Settings = overrides, maps.Clone(p.Settings)
	maps.Copy(own.Settings, overrides)
	return &own, own.validate()
}

// WithShadowSettings returns a copy of the plan with settings that its decisions are to be compared with: changes is
// what differs from the settings in force.
func (p *Plan) WithShadowSettings(changes map[string]string) (*Plan, error) {
	shadow, err := p.WithSettings(changes)
	if err != nil {
		return nil, fmt.Errorf("shadow: %w", err)
	}
	own := *p
	own.ShadowSettings = shadow.Settings
	return &own, nil
}

// DecodeObject decodes a text that is one JSON object and nothing else. Numbers are json.Number.
func DecodeObject(text []byte) (map[string]any, error) {
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); object == nil || !errors.Is(err, io.EOF) {
		return nil, ErrNotOneObject
	}
	return object, nil
}

func stringOf(value any) string {
	text, _ := value.(string)
	return text
}

// numberOf returns a JSON number that fits a float64; false for anything else.
func numberOf(value any) (float64, bool) {
	number, ok := value.(json.Number)
	if !ok {
		return 0, false
	}
	f, err := number.Float64()
	return f, err == nil && !math.IsInf(f, 0)
}
