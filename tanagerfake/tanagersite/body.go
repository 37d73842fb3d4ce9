package tanagersite

import (
	"io"
	"net/http"

	"tanagersail.example/tanager/tanagerwire"
)

// writeResponse writes a response with a CBOR body, or without one if body is nil.
func writeResponse(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(tanagerwire.Encode(body))
}

const contentType = "application/cbor"

func readBody(r *http.Request, v any) error {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return tanagerwire.Decode(content, v)
}
