// Package tanagerdial tells calls that certainly reached nobody from calls that
// may have had an effect.
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
// made, so that no byte of the request was sent. For any other error the request
// may have had an effect.
func Failed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
