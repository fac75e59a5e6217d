package http1

import "fmt"

// Status codes that this package reports or treats specially.
const (
	statusOK                  = 200
	statusNoContent           = 204
	statusNotModified         = 304
	statusBadRequest          = 400
	statusLengthRequired      = 411
	statusContentTooLarge     = 413
	statusHeadTooLarge        = 431
	statusNotImplemented      = 501
	statusBadGateway          = 502
	statusVersionNotSupported = 505
)

// InvalidMessageError reports a message that is malformed, too long or uses an unsupported feature.
type InvalidMessageError struct {
	Status  int // the status code to answer an invalid request with, or 502 for an invalid status line
	Message string
}

func (e InvalidMessageError) Error() string { return e.Message }

// Advice implements advice.Provider.
func (e InvalidMessageError) Advice() string {
	return "Ask the owner of the program that sent the message to fix it."
}

func invalidMessage(status int, format string, args ...any) error {
	return InvalidMessageError{Status: status, Message: fmt.Sprintf(format, args...)}
}
