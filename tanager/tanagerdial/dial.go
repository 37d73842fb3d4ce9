// Package tanagerdial distinguishes calls that were certainly not sent from calls
// that may have taken effect.
//
// # Usage
//
//	response, err := client.Do(request)
//	if err != nil && tanagerdial.Failed(err) {
//		// no byte of the request was sent
//	}
package tanagerdial

import (
	"errors"
	"net"
)

// Failed reports whether an error of an HTTP client means that no connection was
// made, so that no byte of the request was sent. After any other error the request
// may have taken effect.
func Failed(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
