package tanagersite

import (
	"encoding/base64"
	"net/http"
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

// commit applies a transaction and returns its status and answer.
func (s *store) commit(t wireTransaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	present := make([]item, 0, len(t.Expected))
	for _, e := range t.Expected {
		i, there := s.items[e.Key]
		if !there {
			i = item{Key: e.Key}
		}
		present = append(present, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": present}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, w := range t.Writes {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		s.set(w.Key, value, w.Lease)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (d *Door) transaction(w http.ResponseWriter, r *http.Request) {
	var t wireTransaction
	if err := readBody(r, &t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := d.store.commit(t)
	reply(w, status, body)
}
