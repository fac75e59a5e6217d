package plan

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"chalkring/config/settings"
)

// shardSeedStep is the difference between the seeds of two consecutive event loops of one process.
const shardSeedStep = 1 << 32

// Number returns a numeric setting, or 0 if it is not set.
func (p *Plan) Number(name string) float64 {
	value, _ := p.parseNumber(name)
	return value
}

// Duration returns a setting that is given in milliseconds, or 0 if it is not set.
func (p *Plan) Duration(name string) time.Duration {
	return time.Duration(p.Number(name) * float64(time.Millisecond))
}

// List returns the items of a setting that is a list of plain values.
func (p *Plan) List(name string) []string {
	if p.Settings[name] == "" {
		return nil
	}
	return strings.Split(p.Settings[name], ",")
}

// Count returns how many objects a list of the settings has.
func (p *Plan) Count(list string) int { return int(p.Number(list + ".count")) }

// ClassDurations returns a duration setting of each class, 0 for classes that do not set it.
func (p *Plan) ClassDurations(name string) (durations []time.Duration) {
	for i := range p.Count(classList) {
		durations = append(durations, p.Duration(fmt.Sprintf("Classes.%d.%s", i, name)))
	}
	return durations
}

// LatencyObjectives returns the latency objective of each class.
func (p *Plan) LatencyObjectives() []time.Duration { return p.ClassDurations("Aim") }

// BlockCount returns the number of blocks that the data is divided into.
func (p *Plan) BlockCount() int { return int(p.Number("Specifics.Ranges")) }

// PositionsByName returns the position of each name in a list of objects. Each name is a key in both of its forms: in
// the file's spelling and in the balancer's.
func (p *Plan) PositionsByName(list string) map[string]int {
	positions := map[string]int{}
	for i, name := range p.namesInFile[list] {
		positions[name], positions[settings.FormatValue(name)] = i, i
	}
	return positions
}

// Identity returns a text that distinguishes this deployment's coordinator from others: its name, its classes and
// tenants, and the zones, machine types and block sets of its hosts.
func (p *Plan) Identity() string {
	return fmt.Sprintf("%q", []any{
		p.Name, p.namesInFile[classList], p.namesInFile[tenantList], p.List(zoneList), p.List("MachineTypes"),
		p.Settings["Specifics.Sets"], p.Settings["Specifics.Reach"], p.Settings["Specifics.Ranges"],
	})
}

// ForShard returns the plan for one of n event loops in a process, with its part of the descriptors, memory and budget,
// and its own seed. In rules that depend on the number of coordinators, each event loop counts as a coordinator.
func (p *Plan) ForShard(index, n int) *Plan {
	own := *p
	own.MaxSockets, own.MemoryMB, own.Cores = p.MaxSockets/n, max(1, p.MemoryMB/n), p.Cores/float64(n)
	own.Seed = p.Seed + int64(index)*shardSeedStep
	own.Settings, own.ShadowSettings = maps.Clone(p.Settings), maps.Clone(p.ShadowSettings)
	factors := map[string]float64{"Balancers": float64(n), "Safety.ExtraFloor": 1 / float64(n)}
	for _, values := range []map[string]string{own.Settings, own.ShadowSettings} {
		for name, factor := range factors {
			if value, err := strconv.ParseFloat(values[name], 64); err == nil {
				values[name] = strconv.FormatFloat(value*factor, 'g', -1, 64)
			}
		}
	}
	return &own
}
