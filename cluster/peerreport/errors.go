package peerreport

import (
	"fmt"

	"chalkring/internal/advice"
)

// InvalidReportError reports a header or an observation from a peer that violates a bound of the protocol.
type InvalidReportError struct{ Reason string }

func (e *InvalidReportError) Error() string { return "invalid peer report: " + e.Reason }

// Advice implements advice.Provider.
func (e *InvalidReportError) Advice() string {
	return "Compare the peer's build and log with this instance's; its previous report is used until it expires."
}

func invalidReport(format string, args ...any) error {
	return &InvalidReportError{Reason: fmt.Sprintf(format, args...)}
}

// ErrTooManyPeers rejects the report of a peer beyond the first MaxPeers.
var ErrTooManyPeers = advice.NewError(fmt.Sprintf("reports of %d peers are kept already, no more are allowed", MaxPeers),
	fmt.Sprintf("Name at most %d peers in the installation file.", MaxPeers))
