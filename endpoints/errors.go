package endpoints

import "fmt"

// InvalidListError reports why an update or a host file was rejected.
type InvalidListError struct {
	Source       string
	HostID       string // empty if the reason does not concern a single host
	Line, Column int    // position in a file, 0 if it is not known
	Reason       string
}

func (e InvalidListError) Error() string {
	position := ""
	if e.Line > 0 {
		position = fmt.Sprintf("[%d:%d] ", e.Line, e.Column)
	}
	if e.HostID != "" {
		position += fmt.Sprintf("host %.60q: ", e.HostID)
	}
	return e.Source + ": " + position + e.Reason
}

// Advice implements advice.Provider.
func (e InvalidListError) Advice() string {
	return "Correct the list of " + e.Source + "; until then its last accepted list is used."
}
