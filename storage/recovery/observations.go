package recovery

import (
	"errors"

	"chalkring/cluster/peerreport"
)

const maxObservationAgeMs = 30_000 // older observations are discarded, as they are in a peer report

// Observations are a coordinator's own observations of hosts, stored in the form of a peer report. Head.AgeMs is the age
// at SavedAt.
type Observations struct {
	_       struct{} `cbor:",toarray"`
	SavedAt int64    // Unix milliseconds
	Head    peerreport.ReportHeader
	Entries []peerreport.Observation
}

// Validate checks observations that were read from disk as strictly as those that come from a peer.
func (o *Observations) Validate() error {
	if len(o.Entries) > peerreport.MaxHosts || len(o.Entries) != int(o.Head.HostCount) {
		return errors.New("the number of observations differs from HostCount in the header, or exceeds the limit")
	}
	err := o.Head.Validate()
	for i := range o.Entries {
		err = errors.Join(err, o.Entries[i].Validate())
	}
	return err
}
