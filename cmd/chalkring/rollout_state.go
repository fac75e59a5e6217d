package main

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/control/rollout"
	"chalkring/internal/advice"
)

const (
	rolloutBucket = "rollout"
	stateKey      = "standing"      // name in the store, which earlier versions read
	saveTimeout   = 5 * time.Second // for the state to be on disk before a restart
)

// rolloutState is what an instance stores about changes. Later versions may add to it.
type rolloutState struct {
	Running         *rollout.Change `cbor:"1,keyasint"` // nil for the instance's own files
	Previous        *rollout.Change `cbor:"2,keyasint"` // what it ran before that
	Attempt         *restartAttempt `cbor:"3,keyasint"` // a restart that has begun and does not serve yet
	RunningEpoch    uint64          `cbor:"4,keyasint"` // in which Running was applied
	UnplannedStarts int             `cbor:"5,keyasint"` // with Running
	EndedCleanly    bool            `cbor:"6,keyasint"` // whether the last process ended as planned
	FailedEpoch     uint64          `cbor:"7,keyasint"` // in which the change FailedNumber could not be applied
	FailedNumber    uint64          `cbor:"8,keyasint"`
	FailureReason   string          `cbor:"9,keyasint"`
}

// restartAttempt is a restart into a change.
type restartAttempt struct {
	Target       *rollout.Change `cbor:"1,keyasint"` // nil for the instance's own files
	Epoch        uint64          `cbor:"2,keyasint"`
	Starts       int             `cbor:"3,keyasint"`
	ReadyTimeout int64           `cbor:"4,keyasint"`
}

// numberOf is a change's number, 0 for nil, the instance's own files.
func numberOf(change *rollout.Change) uint64 {
	if change == nil {
		return 0
	}
	return change.Number
}

// runningChange is the change that this process runs, nil for the instance's own files.
func (r *rolloutRunner) runningChange() *rollout.Change {
	if r.state.Attempt != nil {
		return r.state.Attempt.Target
	}
	return r.state.Running
}

// failAttempt records that a change could not be applied.
func (r *rolloutRunner) failAttempt(number, epoch uint64, reason string) {
	r.log.Error("rollout_not_applied", advice.LogAttrs(&rollout.ChangeNotAppliedError{Number: number, Reason: reason})...)
	r.state.Attempt = nil
	r.state.FailedNumber, r.state.FailedEpoch, r.state.FailureReason = number, epoch, reason
}

// isStoreOpened reports whether the store is open, or is known to be unusable.
func (r *rolloutRunner) isStoreOpened() bool {
	select {
	case <-r.opened:
		return true
	default:
		return false
	}
}

// load reads the state from the store.
func (r *rolloutRunner) load() {
	if !r.isStoreOpened() {
		r.isStateUnread = true
		return
	}
	if r.store == nil {
		return
	}
	text, found, err := r.store.Get(rolloutBucket, stateKey)
	if err == nil && found {
		err = cbor.Unmarshal(text, &r.state)
	}
	if err != nil {
		r.state = rolloutState{}
		r.log.Error("rollout_store", advice.LogAttrs(err, "path", r.file.StoreFile)...)
		return
	}
	r.isStateKnown = found && r.state.EndedCleanly // a crash may have cut off the last writes
	if !found {
		r.state.EndedCleanly = true
	}
}

// save writes the state and waits until it is on disk. An instance that cannot save it does not restart into a change.
func (r *rolloutRunner) save() error {
	if !r.isStoreOpened() || r.isStateUnread {
		return context.DeadlineExceeded
	}
	if r.store == nil {
		return &MissingStoreError{}
	}
	text, err := cbor.Marshal(r.state)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	err = r.store.Put(ctx, rolloutBucket, map[string][]byte{stateKey: text}, nil)
	if err != nil {
		r.log.Error("rollout_store", advice.LogAttrs(err, "path", r.file.StoreFile)...)
	}
	return err
}
