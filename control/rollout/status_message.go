package rollout

// StatusMessage is what an instance publishes about itself. The newest one, by incarnation and sequence, replaces all
// earlier ones.
type StatusMessage struct {
	Instance          Instance       `cbor:"1,keyasint"`
	Incarnation       uint64         `cbor:"2,keyasint"` // of the process; rises with each start
	Sequence          uint64         `cbor:"3,keyasint"` // rises with each message of an incarnation
	ChangeNumber      uint64         `cbor:"4,keyasint"` // of the change that the message is about
	ChangeDigest      string         `cbor:"5,keyasint"`
	Verdict           Verdict        `cbor:"6,keyasint"`
	RosterDigest      string         `cbor:"7,keyasint"`  // the instance's vote for a roster, cast once for each change
	ApprovalEpoch     uint64         `cbor:"8,keyasint"`  // epoch of ApprovedSteps
	ApprovedSteps     int            `cbor:"9,keyasint"`  // steps that it has voted to open; one more than the change has is a vote for its completion
	RunningNumber     uint64         `cbor:"10,keyasint"` // of the change that the process runs, 0 for its own files
	ServingFor        int64          `cbor:"11,keyasint"` // how long it has served with that, by its own clock; -1 before it serves
	PermitRequest     PermitRequest  `cbor:"12,keyasint"`
	PermitGrants      []PermitGrant  `cbor:"13,keyasint,omitempty"`
	FailedEpoch       uint64         `cbor:"14,keyasint,omitempty"` // epoch in which it could not apply the change, 0 for none
	UnplannedRestarts int            `cbor:"15,keyasint,omitempty"` // with what it runs
	Stats             *InstanceStats `cbor:"16,keyasint,omitempty"` // nil before the end of its warm-up
}

// PermitRequest requests a permit to restart into a change. Number rises with each request; 0 is no request.
type PermitRequest struct {
	Number       uint64 `cbor:"1,keyasint"`
	TargetNumber uint64 `cbor:"2,keyasint"` // number of the change to run after the restart
}

// PermitGrant grants the request of an instance.
type PermitGrant struct {
	InstanceName  string `cbor:"1,keyasint"`
	RequestNumber uint64 `cbor:"2,keyasint"`
}

func (m *StatusMessage) isNewerThan(other *StatusMessage) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Sequence > other.Sequence
}
