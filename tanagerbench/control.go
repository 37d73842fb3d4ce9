package main

import (
	"io"
)

// benchControl measures a daemon's control tables.
func benchControl(io.Writer, uint64) {}
