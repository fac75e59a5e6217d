package fake

import (
	"fmt"
	"strings"
)

// Endpoint is one entry of a list as discovery sends it.
type Endpoint struct {
	ID, Addr, Zone, Kind, State string
	Cell                        int
	StartedMS                   int64
}

// Encode returns the entry in discovery's form.
func (e Endpoint) Encode() string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		e.ID, e.Addr, e.Zone, e.Kind, e.Cell, e.State, e.StartedMS)
}

// EncodeEndpointList returns a complete list in discovery's form.
func EncodeEndpointList(version int, entries []Endpoint) string {
	var texts []string
	for _, e := range entries {
		texts = append(texts, e.Encode())
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(texts, ","))
}
