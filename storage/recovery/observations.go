package recovery

import (
	"errors"

	"chalkring/cluster/peerreport"
)

const maxObservationAgeMs = 30_000 // older observations of hosts are discarded, as those in a peer's report are

// Observations are what a coordinator has observed of hosts, stored in the form of a load report to a peer. Head.AgeMs
// is as of SavedAt.
type Observations struct {
	_       struct{} `cbor:",toarray"`
	SavedAt int64    // Unix milliseconds
	Head    peerreport.ReportHeader
	Entries []peerreport.Observation
}

// Validate checks observations that were read from disk as strictly as those that come from a peer.
func (o *Observations) Validate() error {
	if len(o.Entries) > peerreport.MaxHosts || len(o.Entries) != int(o.Head.HostCount) {
		return errors.New("the number of observations differs from the header's, or exceeds the limit")
	}
	err := o.Head.Validate()
	for i := range o.Entries {
		err = errors.Join(err, o.Entries[i].Validate())
	}
	return err
}
