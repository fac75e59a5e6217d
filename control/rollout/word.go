package rollout

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"
)

// Where what instances share about changes stands in the ledger.
const (
	KeyPrefix     = "rollout/"
	changePrefix  = KeyPrefix + "change/" // number/digest: a Change, which never changes
	rosterPrefix  = KeyPrefix + "roster/" // number/digest: places in order of names, likewise
	statusPrefix  = KeyPrefix + "word/"   // instance: its Word, written by it alone
	changesMost   = 16                    // changes that are kept: those before the one in force are of no use
	digestsMost   = 4                     // of one number: two already stop it
	wordsMost     = 4096                  // instances that are heard: ten times the largest fleet
	MaxEntryBytes = 1 << 20               // bytes of an entry
	rosterMost    = 1 << 20               // bytes of a roster unpacked: wordsMost places
	verdictWords  = 300                   // bytes of why
	acksMost      = 1024                  // grants that an instance holds: a step of the largest fleet
)

// Verdict is what is to become of a change. The higher turn rules; within it, going back over stopping over going on.
type Verdict struct {
	Epoch     uint64 `cbor:"1,keyasint"`
	Order     Order  `cbor:"2,keyasint"`
	Reason    string `cbor:"3,keyasint,omitempty"`
	DecidedBy string `cbor:"4,keyasint,omitempty"`
}

// over tells whether a verdict rules over another. Of two that mean the same, one has to rule everywhere.
func (v Verdict) over(w Verdict) bool {
	switch {
	case v.Epoch != w.Epoch:
		return v.Epoch > w.Epoch
	case v.Order != w.Order:
		return v.Order > w.Order
	case v.DecidedBy != w.DecidedBy:
		return v.DecidedBy < w.DecidedBy && v.DecidedBy != "" || w.DecidedBy == ""
	}
	return v.Reason < w.Reason
}

// PermitRequest is a wish to restart into a change, 0 for none; its number rises.
type PermitRequest struct {
	Number       uint64 `cbor:"1,keyasint"`
	TargetNumber uint64 `cbor:"2,keyasint"`
}

// PermitGrant says that the wish of an instance is granted.
type PermitGrant struct {
	InstanceName  string `cbor:"1,keyasint"`
	RequestNumber uint64 `cbor:"2,keyasint"`
}

// StatusMessage is all that an instance tells the others. A later one, by life and beat, takes an earlier one's place.
type StatusMessage struct {
	Instance          Instance       `cbor:"1,keyasint"`
	Incarnation       uint64         `cbor:"2,keyasint"` // of the process, rises with each start
	Sequence          uint64         `cbor:"3,keyasint"` // rises with each word of a life
	ChangeNumber      uint64         `cbor:"4,keyasint"` // of the change that it speaks of
	ChangeDigest      string         `cbor:"5,keyasint"`
	Verdict           Verdict        `cbor:"6,keyasint"`
	RosterDigest      string         `cbor:"7,keyasint"` // its vote for who is in which stage; once for each change
	StageEpoch        uint64         `cbor:"8,keyasint"` // of the verdict under which Stage was voted
	ApprovedSteps     int            `cbor:"9,keyasint"` // steps that may begin, by its vote; one more than there are closes the change
	RunningNumber     uint64         `cbor:"10,keyasint"`
	ServingFor        int64          `cbor:"11,keyasint"` // how long it has served with that, by its own clock; -1 while it does not serve
	PermitRequest     PermitRequest  `cbor:"12,keyasint"`
	PermitGrants      []PermitGrant  `cbor:"13,keyasint,omitempty"`
	FailedEpoch       uint64         `cbor:"14,keyasint,omitempty"` // turn in which it could not take Number
	UnplannedRestarts int            `cbor:"15,keyasint,omitempty"` // that nobody asked for, with what it runs
	Stats             *InstanceStats `cbor:"16,keyasint,omitempty"` // since it was warm; nil before
}

func (w *StatusMessage) isNewerThan(v *StatusMessage) bool {
	return w.Incarnation > v.Incarnation || w.Incarnation == v.Incarnation && w.Sequence > v.Sequence
}

// InvalidEntryError is an entry of the ledger that cannot be used; it counts as not said.
type InvalidEntryError struct {
	Key string
	Err error
}

func (f *InvalidEntryError) Error() string {
	return fmt.Sprintf("shared entry %.80q: %v", f.Key, f.Err)
}
func (f *InvalidEntryError) Unwrap() error { return f.Err }

// Advice tells an operator what to do.
func (f *InvalidEntryError) Advice() string {
	return "Look which program the instance runs: programs more than one version apart may not understand each other."
}

func changeKey(number uint64, digest string) string {
	return fmt.Sprintf("%s%020d/%s", changePrefix, number, digest)
}

func rosterKey(number uint64, digest string) string {
	return fmt.Sprintf("%s%020d/%s", rosterPrefix, number, digest)
}

// StatusMessageKey is where an instance's word stands.
func StatusMessageKey(name string) string { return statusPrefix + name }

// parseKeySuffix takes the part of a key behind its prefix apart.
func parseKeySuffix(rest string) (number uint64, digest string, ok bool) {
	text, digest, ok := strings.Cut(rest, "/")
	if _, err := fmt.Sscanf(text, "%d", &number); err != nil || len(text) != 20 {
		return 0, "", false
	}
	return number, digest, ok
}

// encodeRoster writes places, in order of names, so that a few hundred fit an entry.
func encodeRoster(all []Instance) []byte {
	text, _ := cborEncoder.Marshal(all)
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression)
	w.Write(text) // to memory: it cannot fail
	w.Close()
	return b.Bytes()
}

func decodeRoster(key string, value []byte) (all []Instance, err error) {
	if len(value) > MaxEntryBytes {
		return nil, &InvalidEntryError{key, fmt.Errorf("%d bytes", len(value))}
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), rosterMost))
	if err == nil {
		err = cborDecoder.Unmarshal(text, &all)
	}
	if err != nil {
		return nil, &InvalidEntryError{key, err}
	}
	return all, nil
}

// decodeEntry reads an entry; fields that a later version has added are passed over.
func decodeEntry(key string, value []byte, into any) error {
	if len(value) > MaxEntryBytes {
		return &InvalidEntryError{key, fmt.Errorf("%d bytes", len(value))}
	}
	if err := cborDecoder.Unmarshal(value, into); err != nil {
		return &InvalidEntryError{key, err}
	}
	return nil
}
