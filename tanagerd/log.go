package main

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// newKeyValueWriter returns a writer that converts zerolog's JSON events to
// lines of key=value pairs: time and level, then the other fields sorted by
// name.
func newKeyValueWriter(w io.Writer) io.Writer {
	return &zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
	}
}
