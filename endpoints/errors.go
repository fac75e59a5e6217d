package endpoints

import "fmt"

// InvalidListError reports why an update, or a host file, is rejected.
type InvalidListError struct {
	Source       string
	HostID       string // empty where the reason concerns no single host
	Line, Column int    // position in a file, 0 where it is not known
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

// Advice tells an operator what to do.
func (e InvalidListError) Advice() string {
	return "Correct the list of " + e.Source + "; until then its last list is in force."
}
