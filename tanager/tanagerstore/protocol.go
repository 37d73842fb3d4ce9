package tanagerstore

type readRequest struct {
	Prefix string `json:"prefix"`
}

type watchRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait_ms"`
}

type grantRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

type leaseMessage struct {
	Lease LeaseID `json:"lease"`
}

type renewResponse struct {
	Alive bool `json:"alive"`
}

type swapResponse struct {
	Swapped  bool   `json:"swapped"`
	Revision uint64 `json:"revision"`
	Current  Entry  `json:"current"`
}
