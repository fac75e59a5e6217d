package plan

import (
	"cmp"
	"errors"
	"math"

	"chalkring/endpoints"
)

// ticksPerMillisecond converts milliseconds to ticks, the balancer's unit of time: a tenth of a millisecond.
const ticksPerMillisecond = 10

// ErrInvalidEndpointList reports a list without a numeric version or without a list of entries.
var ErrInvalidEndpointList = errors.New("the endpoint list needs a number as version and a list as servers")

// endpointStates are the states that an entry may have on the wire.
var endpointStates = map[string]endpoints.State{
	"up": endpoints.StateUp, "draining": endpoints.StateDraining, "removed": endpoints.StateRemoved,
}

// EndpointList is a list of hosts, or changes to one, in the form that plans and the discovery service use.
type EndpointList struct {
	Version float64
	Full    bool // the complete list, not changes
	Hosts   []ListedHost
}

// ListedHost is one entry of a list.
type ListedHost struct {
	endpoints.Host
	Removed      bool
	ZoneConflict bool    // several sources list the host with different zones
	ListedWeight float64 // the entry's own weight, 0 if it has none
	StartedTicks int64   // start of the host, in the balancer's ticks
}

// NewEndpointList reads a list from a decoded JSON object.
func NewEndpointList(object map[string]any) (list EndpointList, err error) {
	version, hasVersion := numberOf(object["version"])
	entries, hasEntries := object["servers"].([]any)
	if !hasVersion || !hasEntries {
		return EndpointList{}, ErrInvalidEndpointList
	}
	list.Version = version
	list.Full, _ = object["full"].(bool)
	for _, entry := range entries {
		host, err := newListedHost(entry)
		if err != nil {
			return EndpointList{}, err
		}
		list.Hosts = append(list.Hosts, host)
	}
	return list, nil
}

func newListedHost(entry any) (ListedHost, error) {
	object, _ := entry.(map[string]any)
	id, addr := stringOf(object["id"]), stringOf(object["addr"])
	state, hasState := endpointStates[stringOf(object["state"])]
	cell, hasCell := numberOf(object["cell"])
	weight, _ := numberOf(object["weight"])
	startedMS, _ := numberOf(object["started_ms"])
	removed := hasState && state == endpoints.StateRemoved
	isPlaced := addr != "" && hasCell && cell >= 0 && cell == math.Trunc(cell)
	if id == "" || !hasState || !removed && !isPlaced {
		return ListedHost{}, &InvalidEntryError{ID: id, Addr: addr, State: stringOf(object["state"]), Cell: object["cell"]}
	}
	return ListedHost{
		Host: endpoints.Host{
			ID: id, Addr: addr, Zone: stringOf(object["zone"]), Kind: stringOf(object["kind"]), Cell: int(cell),
			State: state, Weight: cmp.Or(weight, 1), StartedMS: int64(startedMS),
		},
		Removed: removed, ListedWeight: weight, StartedTicks: int64(startedMS * ticksPerMillisecond),
	}, nil
}
