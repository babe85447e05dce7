// Package http1 checks what peers send over HTTP/1.1 where the parsers of libraries are
// more lenient than RFC 9112 and repair or skip what they can't read.
package http1

import (
	"fmt"
	"net/http"
)

// InvalidStatusError reports a response whose status is outside of 100 to 599, or 101,
// for which no request asks.
type InvalidStatusError struct{ Status int }

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response with invalid status %03d", e.Status)
}

// CheckStatus returns *InvalidStatusError for a status that is outside of the range of
// RFC 9110, section 15, or leaves the connection with another protocol.
func CheckStatus(status int) error {
	if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Status: status}
	}
	return nil
}

// CheckFinalStatus is CheckStatus for a response that is not informational.
func CheckFinalStatus(status int) error {
	if status < 200 {
		return &InvalidStatusError{Status: status}
	}
	return CheckStatus(status)
}
