package gossip

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/membership"
)

const (
	metaMost  = 512     // bytes that an instance says of itself: the library's bound
	wordsMost = 2 << 20 // bytes of others' words at once: two ended lives of 1000 names take a fifth of it
	listMost  = 2 * membership.MaxMembers
	headMost  = 256 // bytes of a message before its body: name, incarnation, topic
)

// word is membership.Member on the wire; the address is the gossip's own.
type word struct {
	Name        string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Word        uint64           `cbor:"3,keyasint,omitempty"`
	State       membership.State `cbor:"4,keyasint,omitempty"`
	Region      string           `cbor:"5,keyasint,omitempty"`
	Zone        string           `cbor:"6,keyasint,omitempty"`
	Program     string           `cbor:"7,keyasint,omitempty"`
	Generation  uint64           `cbor:"8,keyasint,omitempty"`
	Parts       []string         `cbor:"9,keyasint,omitempty"`

	Whose membership.Identity `cbor:"10,keyasint,omitzero"` // of the fleet; what an instance from before it does not say
}

// newDecoding bounds what others send; made at a start, not when the program begins.
func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: listMost, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func (n *Node) encodeMember(m membership.Member) ([]byte, error) {
	state := m.State
	if state == membership.Suspect {
		state = membership.Alive // no one suspects itself
	}
	text, err := cbor.Marshal(word{m.Name, m.Incarnation, m.MetaVersion, state, m.Region, m.Zone, m.ProgramVersion, m.SettingsGeneration, m.Capabilities, n.o.Identity})
	if err == nil && len(text) > metaMost {
		err = &MetadataTooLargeError{len(text)}
	}
	return text, err
}

var errWord = errors.New("a word that cannot be used")

func (w word) member(addr string) (membership.Member, error) {
	m := membership.Member{
		Name: w.Name, Incarnation: w.Incarnation, MetaVersion: w.Word, State: w.State, Region: w.Region, Zone: w.Zone,
		ProgramVersion: w.Program, SettingsGeneration: w.Generation, Capabilities: w.Parts, Addr: addr,
	}
	if !m.IsValid() {
		return m, errWord
	}
	return m, nil
}

func (n *Node) decodeMember(text []byte, addr string) (membership.Member, error) {
	var w word
	if len(text) > metaMost {
		return membership.Member{}, errWord
	}
	if err := n.decoding.Unmarshal(text, &w); err != nil {
		return membership.Member{}, err
	}
	return w.member(addr)
}

func encodeEnds(all []membership.Member) []byte {
	words := []word{}
	for _, m := range all {
		words = append(words, word{Name: m.Name, Incarnation: m.Incarnation, State: m.State})
	}
	text, err := cbor.Marshal(words)
	if err != nil {
		panic(err) // names and numbers: there is nothing that it could refuse
	}
	return text
}

// decodeEnds takes words that lives are over, and no others.
func (n *Node) decodeEnds(text []byte) (all []membership.Member, err error) {
	var words []word
	if len(text) > wordsMost {
		return nil, errWord
	}
	if err := n.decoding.Unmarshal(text, &words); err != nil {
		return nil, err
	}
	for _, w := range words {
		m, err := word{Name: w.Name, Incarnation: w.Incarnation, State: w.State}.member("")
		if err != nil || !m.State.IsTerminal() {
			return nil, errWord
		}
		all = append(all, m)
	}
	return all, nil
}

// head is put before a body: the topic, who sends it and in which life.
func head(topic byte, me membership.Member, body []byte) []byte {
	out := make([]byte, 0, headMost+len(body))
	out = append(out, topic, byte(len(me.Name)))
	out = append(out, me.Name...)
	out = binary.BigEndian.AppendUint64(out, me.Incarnation)
	return append(out, body...)
}

func cut(text []byte) (topic byte, from string, incarnation uint64, body []byte, err error) {
	if len(text) < 2 || len(text) < 2+int(text[1])+8 || text[1] == 0 {
		return 0, "", 0, nil, errWord
	}
	at := 2 + int(text[1])
	return text[0], string(text[2:at]), binary.BigEndian.Uint64(text[at:]), text[at+8:], nil
}
