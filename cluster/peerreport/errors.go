package peerreport

import (
	"fmt"

	"chalkring/internal/advice"
)

// InvalidReportError is a header or an observation from a peer that breaks a bound of the protocol.
type InvalidReportError struct{ Reason string }

func (e *InvalidReportError) Error() string { return "invalid peer report: " + e.Reason }

// Advice implements advice.Provider.
func (e *InvalidReportError) Advice() string {
	return "Compare the peer's build and log with this instance's; its earlier report stays in force until it expires."
}

func invalidReport(format string, args ...any) error {
	return &InvalidReportError{Reason: fmt.Sprintf(format, args...)}
}

// ErrTooManyPeers rejects the report of a peer beyond the first MaxPeers.
var ErrTooManyPeers = advice.NewError(fmt.Sprintf("%d peers have reported already", MaxPeers),
	fmt.Sprintf("Name at most %d peers in the installation file.", MaxPeers))
