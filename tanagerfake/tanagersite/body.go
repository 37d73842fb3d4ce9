package tanagersite

import (
	"io"
	"net/http"

	"tanagersail.example/tanager/tanagerwire"
)

func reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(tanagerwire.Encode(body))
}

// contentType is that of all bodies.
const contentType = "application/cbor"

func readBody(r *http.Request, v any) error {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return tanagerwire.Decode(content, v)
}
