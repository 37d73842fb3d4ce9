package tanagersite

import (
	"encoding/base64"
	"fmt"
	"net/http"

	"tanagersail.example/tanager/tanagerwire"
)

type wireTransaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Writes []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// commit applies a transaction. It returns the status and body of the response.
func (s *store) commit(t wireTransaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expectationsHold := true
	current := make([]item, 0, len(t.Expected))
	for _, e := range t.Expected {
		i, exists := s.items[e.Key]
		if !exists {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		expectationsHold = expectationsHold && i.Revision == e.Revision
	}
	if !expectationsHold {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	values := make([][]byte, len(t.Writes))
	for i, w := range t.Writes {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		values[i] = value
	}
	s.revision++
	for i, w := range t.Writes {
		s.putAtCurrentRevision(w.Key, values[i], w.Lease)
	}
	for _, key := range t.Remove {
		s.deleteAtCurrentRevision(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// commit applies a transaction of the endpoint's daemon and records it. lost tells
// that the daemon gets no response.
func (e *StoreEndpoint) commit(t wireTransaction, lost bool) (int, any) {
	status, body := e.store.commit(t)
	if record := e.site.Record(); record != nil {
		writes := make(map[string]string, len(t.Writes))
		for _, w := range t.Writes {
			writes[w.Key] = describeValue(w.Value)
		}
		record.Note("write", Fields{
			"daemon": e.index, "status": status, "response": fmt.Sprint(body), "lost": lost, "writes": writes,
			"remove": t.Remove,
		})
	}
	return status, body
}

// maxDescription bounds the text of a value in the record.
const maxDescription = 400

func describeValue(value string) string {
	var decoded any
	content, err := base64.StdEncoding.DecodeString(value)
	if err == nil {
		err = tanagerwire.Decode(content, &decoded)
	}
	if err != nil {
		return fmt.Sprintf("%d bytes", len(value))
	}
	text := fmt.Sprint(decoded)
	return text[:min(len(text), maxDescription)]
}

func (e *StoreEndpoint) transaction(w http.ResponseWriter, r *http.Request) {
	var t wireTransaction
	if err := readBody(r, &t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := e.commit(t, false)
	writeResponse(w, status, body)
}
