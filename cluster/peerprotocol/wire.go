// Package peerprotocol carries what co-ordinators tell each other: one asks, the other answers with a report in slices,
// names a time to come back, or refuses. It reads and writes sockets and decides nothing: package peerreport does.
// docs/learning.md describes the protocol. Way in: Asking.Run asks, Server.Serve answers, Keys holds the files
// of mutual TLS.
package peerprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/peerreport"
)

const (
	version     = 1                      // of the protocol; another is refused and told
	frameMost   = 128 << 10              // bytes of a frame: SliceMost notes with the longest names
	totalMost   = 4 << 20                // bytes of one answer: HostsMost notes of 200 bytes
	nestedMost  = 4                      // arrays within arrays: a head has three
	sumBytes    = 8                      // bytes of a report's checksum
	helloTime   = 2 * time.Second        // for an asker's hello to come, the handshake included
	frameTime   = 2 * time.Second        // for one frame to come or go: a peer that trickles is cut off
	wholeTime   = 10 * time.Second       // for a whole answer: 4 MiB at half a megabyte a second
	dialTime    = time.Second            // for a connection to come up
	connsMost   = 32                     // askers connected at once; more wait in the system's backlog
	connsEach   = 40                     // askers a second that are let in, after a burst of connsMost
	acceptPause = 100 * time.Millisecond // before accepting again after a failure to
	wordsMost   = 200                    // bytes of a refusal's words
)

// The kinds of frames: a length of four bytes, most significant first, that counts the kind and the rest; the kind;
// then one CBOR item.
const (
	kindHello  = 'h' // asker: who asks, for what
	kindLater  = 'l' // come back after so many ms
	kindNo     = 'n' // refused, with a code and words
	kindHead   = 'r' // a report begins
	kindNotes  = 's' // a slice of it
	kindEnd    = 'e' // it is whole
	kindStatus = 't' // how the answering one stands
)

// What a hello asks for.
const (
	wantReport = "report"
	wantStatus = "status"
)

// Codes of a refusal.
const (
	noVersion = "version"
	noName    = "name"
	noSelf    = "self"
	noUse     = "unusable"
)

type hello struct {
	_        struct{} `cbor:",toarray"`
	Version  uint16
	Name     string
	Instance uint64 // drawn at start: whoever meets it has met itself
	Want     string
}

type no struct {
	_     struct{} `cbor:",toarray"`
	Code  string
	Words string
}

// Status is how a co-ordinator stands, for the operators.
type Status struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Locality        string
	UptimeMs        uint64
	ListVersion     int64
	HostCount       uint32
	ReportsServed   uint32 // askers that got a report
	ReportsDeferred uint32 // askers that were told to come back
	LoadPermille    uint16 // share of the owner's time in turns, in thousandths
	WaitingJobs     uint16 // background jobs
	RunningJobs     uint16
	DeferredJobs    uint32 // times that a due job waited for searches
	Peers           []PeerStatus
}

// PeerStatus is how one of its peers stands with it.
type PeerStatus struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	LastOutcome      string // how the last asking ended, empty for none yet
	LastOutcomeAgoMs uint64
	ReportCount      uint32
	NextPollInMs     uint64 // until it is asked again, 0 for never or now
}

// ErrInvalidMessage is what came and cannot be used.
var ErrInvalidMessage = errors.New("bad peer message")

var (
	encoder = must(cbor.EncOptions{
		Sort: cbor.SortNone, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: nestedMost, MaxArrayElements: peerreport.MaxChunkObservations,
		MaxMapPairs: 16, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// appendFrame adds a frame with v to dst.
func appendFrame(dst []byte, kind byte, v any) ([]byte, error) {
	text, err := encoder.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(text)+1 > frameMost {
		return nil, fmt.Errorf("a frame of %d bytes, %d at the most", len(text)+1, frameMost)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(text)+1))
	return append(append(dst, kind), text...), nil
}

// readFrame takes a frame off src into buf, whose room grows with what has come and not with what the length says.
func readFrame(src io.Reader, buf []byte) (kind byte, rest, room []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(src, head[:]); err != nil {
		return 0, nil, buf, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > frameMost {
		return 0, nil, buf, fmt.Errorf("%w: length %d", ErrInvalidMessage, n)
	}
	buf = buf[:0]
	for left := int(n) - 1; left > 0; {
		step := min(left, 4096)
		at := len(buf)
		buf = append(buf, make([]byte, step)...)
		if _, err = io.ReadFull(src, buf[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, nil, buf, err
		}
		left -= step
	}
	return head[4], buf, buf, nil
}

// decode reads the one item of a frame.
func decode(text []byte, into any) error {
	if err := decoder.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	return nil
}

// DecodeObservations reads a slice and looks at each note.
func DecodeObservations(text []byte) ([]peerreport.Observation, error) {
	var notes []peerreport.Observation
	if err := decode(text, &notes); err != nil {
		return nil, err
	}
	if len(notes) > peerreport.MaxChunkObservations {
		return nil, fmt.Errorf("%w: %d notes in a slice", ErrInvalidMessage, len(notes))
	}
	for i := range notes {
		if err := notes[i].Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
		}
	}
	return notes, nil
}

// DecodeHeader reads a report's head and looks at it.
func DecodeHeader(text []byte) (h peerreport.ReportHeader, err error) {
	if err = decode(text, &h); err == nil {
		if err = h.Validate(); err != nil {
			err = fmt.Errorf("%w: %w", ErrInvalidMessage, err)
		}
	}
	return h, err
}

// EncodeObservations is a slice as it travels.
func EncodeObservations(notes []peerreport.Observation) ([]byte, error) {
	return encoder.Marshal(notes)
}

// summer makes the checksum of all slices of a report.
func summer() *xxhash.Digest { return xxhash.New() }
