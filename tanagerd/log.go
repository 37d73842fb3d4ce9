package main

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// newPairWriter returns a writer that turns zerolog's events into lines of
// key=value pairs: time and level, then the fields by name.
func newPairWriter(w io.Writer) io.Writer {
	return &zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
	}
}
