package gossip

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/membership"
)

const (
	maxMetadataBytes = 512     // of a member's metadata; memberlist's limit
	maxUpdatesBytes  = 2 << 20 // of a list of updates; two ended incarnations of each of 1000 names take a fifth of it
	maxUpdates       = 2 * membership.MaxMembers
	maxMapPairs      = 64  // in received CBOR; the types here have ten
	maxNesting       = 8   // in received CBOR; the types here have three levels
	maxHeaderBytes   = 256 // of a message's header: topic, name, incarnation
)

// errMalformed is the error for received data that is dropped.
var errMalformed = errors.New("malformed gossip data: invalid or above a size limit")

// wireMember is the wire form of membership.Member, without the address, which memberlist sends.
type wireMember struct {
	Name               string           `cbor:"1,keyasint"`
	Incarnation        uint64           `cbor:"2,keyasint"`
	MetaVersion        uint64           `cbor:"3,keyasint,omitempty"`
	State              membership.State `cbor:"4,keyasint,omitempty"`
	Region             string           `cbor:"5,keyasint,omitempty"`
	Zone               string           `cbor:"6,keyasint,omitempty"`
	ProgramVersion     string           `cbor:"7,keyasint,omitempty"`
	SettingsGeneration uint64           `cbor:"8,keyasint,omitempty"`
	Capabilities       []string         `cbor:"9,keyasint,omitempty"`

	Identity membership.Identity `cbor:"10,keyasint,omitzero"` // of the cluster; older versions do not send it
}

// newDecMode returns a decoding mode that limits the size of received data. It is called when a node starts, not when the
// program starts, because it takes time that programs without a cluster do not need to spend.
func newDecMode() cbor.DecMode {
	options := cbor.DecOptions{MaxArrayElements: maxUpdates, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNesting}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeMember encodes this instance's member entry as its metadata in memberlist.
func (n *Node) encodeMember(m membership.Member) ([]byte, error) {
	state := m.State
	if state == membership.Suspect {
		state = membership.Alive // a suspicion is local to the observer
	}
	encoded, err := cbor.Marshal(wireMember{
		m.Name, m.Incarnation, m.MetaVersion, state, m.Region, m.Zone, m.ProgramVersion, m.SettingsGeneration, m.Capabilities,
		n.options.Identity,
	})
	if err == nil && len(encoded) > maxMetadataBytes {
		err = &MetadataTooLargeError{len(encoded)}
	}
	return encoded, err
}

func (n *Node) decodeMember(encoded []byte, addr string) (membership.Member, error) {
	var decoded wireMember
	if len(encoded) > maxMetadataBytes {
		return membership.Member{}, errMalformed
	}
	if err := n.decMode.Unmarshal(encoded, &decoded); err != nil {
		return membership.Member{}, err
	}
	return decoded.toMember(addr)
}

func (w wireMember) toMember(addr string) (membership.Member, error) {
	m := membership.Member{
		Name: w.Name, Incarnation: w.Incarnation, MetaVersion: w.MetaVersion, State: w.State, Region: w.Region, Zone: w.Zone,
		ProgramVersion: w.ProgramVersion, SettingsGeneration: w.SettingsGeneration, Capabilities: w.Capabilities, Addr: addr,
	}
	if !m.IsValid() {
		return m, errMalformed
	}
	return m, nil
}

// encodeEnded encodes updates on ended incarnations, without metadata.
func encodeEnded(ended []membership.Member) []byte {
	updates := []wireMember{}
	for _, m := range ended {
		updates = append(updates, wireMember{Name: m.Name, Incarnation: m.Incarnation, State: m.State})
	}
	encoded, err := cbor.Marshal(updates)
	if err != nil {
		panic(err) // cannot happen: names and numbers can always be encoded
	}
	return encoded
}

// decodeEnded decodes updates. It returns an error if one of them is not on an ended incarnation.
func (n *Node) decodeEnded(encoded []byte) (ended []membership.Member, err error) {
	var updates []wireMember
	if len(encoded) > maxUpdatesBytes {
		return nil, errMalformed
	}
	if err := n.decMode.Unmarshal(encoded, &updates); err != nil {
		return nil, err
	}
	for _, update := range updates {
		m, err := wireMember{Name: update.Name, Incarnation: update.Incarnation, State: update.State}.toMember("")
		if err != nil || !m.State.IsTerminal() {
			return nil, errMalformed
		}
		ended = append(ended, m)
	}
	return ended, nil
}

// messageHeader is the part of a message before its body.
type messageHeader struct {
	topic       byte
	sender      string
	incarnation uint64 // the sender's
}

// encodeMessage encodes a message: topic, length of the sender's name, the name, incarnation (big-endian), body.
func encodeMessage(topic byte, sender membership.Member, body []byte) []byte {
	encoded := make([]byte, 0, maxHeaderBytes+len(body))
	encoded = append(encoded, topic, byte(len(sender.Name)))
	encoded = append(encoded, sender.Name...)
	encoded = binary.BigEndian.AppendUint64(encoded, sender.Incarnation)
	return append(encoded, body...)
}

// decodeMessage returns a message's header and body; the body shares memory with the message.
func decodeMessage(encoded []byte) (header messageHeader, body []byte, err error) {
	const nameStart, incarnationBytes = 2, 8
	if len(encoded) < nameStart {
		return messageHeader{}, nil, errMalformed
	}
	nameLength := int(encoded[1])
	nameEnd := nameStart + nameLength
	if nameLength == 0 || len(encoded) < nameEnd+incarnationBytes {
		return messageHeader{}, nil, errMalformed
	}
	header = messageHeader{encoded[0], string(encoded[nameStart:nameEnd]), binary.BigEndian.Uint64(encoded[nameEnd:])}
	return header, encoded[nameEnd+incarnationBytes:], nil
}
