// Package plan reads the plan of one coordinator: the JSON file that GW_CONFIG names, with its limits, its settings and
// the last known endpoint list. It validates everything that the coordinator and its balancer need, so that a faulty
// file makes the start fail and not a search.
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
	"chalkring/internal/guard"
)

// minSockets is the smallest number of descriptors that a plan may grant: clients, replicas and discovery each need some.
const minSockets = 16

// Errors that concern a plan as a whole.
var (
	ErrNotOneObject    = errors.New("expected exactly one JSON object")
	ErrInvalidLimits   = errors.New("limits: expected cores above 0, memory_mb of at least 1 and sockets of at least 16")
	ErrMissingSettings = errors.New("settings: expected an object")
	ErrMissingKnown    = errors.New("known: expected an object with an endpoint list")
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
	ShadowSettings map[string]string // settings under which decisions are made a second time, for comparison; nil for none
	Known          EndpointList      // the last known endpoint list

	discoveryInFile string              // the file's own discovery address; the environment's if the file has none
	overrides       map[string]string   // settings of an installation file that override the plan's
	namesInFile     map[string][]string // names in the file's spelling, by list and position
}

// Parse reads a plan from JSON and validates it.
func Parse(text []byte) (*Plan, error) {
	return guard.Read(func() (*Plan, error) { return parse(text) })
}

func parse(text []byte) (*Plan, error) {
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

// WithSettings returns a copy of the plan in which an installation's settings override the plan's, and an error if the
// result is invalid.
func (p *Plan) WithSettings(overrides map[string]string) (*Plan, error) {
	own := *p
	own.overrides, own.Settings = overrides, maps.Clone(p.Settings)
	maps.Copy(own.Settings, overrides)
	return &own, own.validate()
}

// WithShadowSettings returns a copy of the plan with shadow settings, under which decisions are made a second time for
// comparison: the plan's own settings with some changes.
func (p *Plan) WithShadowSettings(changes map[string]string) (*Plan, error) {
	shadow, err := p.WithSettings(changes)
	if err != nil {
		return nil, fmt.Errorf("shadow: %w", err)
	}
	own := *p
	own.ShadowSettings = shadow.Settings
	return &own, nil
}

// DecodeObject decodes a text that has to be exactly one JSON object. Numbers are decoded as json.Number.
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

// numberOf returns a JSON number as a float64; false if the value is not a number or does not fit.
func numberOf(value any) (float64, bool) {
	number, ok := value.(json.Number)
	if !ok {
		return 0, false
	}
	f, err := number.Float64()
	return f, err == nil && !math.IsInf(f, 0)
}
