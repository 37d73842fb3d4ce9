package tanagerboot

import (
	"bytes"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logBufferLines bounds the log lines that wait for the output.
	logBufferLines = 20000
	// logFlushInterval is the interval at which buffered lines are written.
	logFlushInterval = 20 * time.Millisecond
)

// newLog returns a logger that never blocks. Lines that do not fit the buffer
// are dropped, and their number is logged.
func newLog(out io.Writer) zerolog.Logger {
	var log zerolog.Logger
	writer := diode.NewWriter(keyValueWriter{out: out}, logBufferLines, logFlushInterval, func(missed int) {
		log.Warn().Str("event", "log_lines_dropped").Int("lines", missed).Send()
	})
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log = zerolog.New(writer).With().Timestamp().Logger()
	return log
}

// keyValueWriter converts zerolog's flat JSON objects to key=value lines
// without decoding them, which would be too expensive at this volume of log
// lines.
type keyValueWriter struct {
	out io.Writer
}

// Write implements io.Writer. Each call must pass one complete line.
func (w keyValueWriter) Write(line []byte) (int, error) {
	if _, err := w.out.Write(appendKeyValues(make([]byte, 0, len(line)), line)); err != nil {
		return 0, err
	}
	return len(line), nil
}

// appendKeyValues appends the key=value form of a flat JSON object to dst. A
// string keeps its quotes and escapes only if it is empty or contains a space,
// an escape or an equals sign. A line that is not an object is copied.
func appendKeyValues(dst, line []byte) []byte {
	line = bytes.TrimSpace(line)
	if len(line) < 2 || line[0] != '{' || line[len(line)-1] != '}' {
		return append(append(dst, line...), 0x0a)
	}
	line = line[1 : len(line)-1]
	for len(line) > 0 {
		key, rest := splitToken(line)
		if len(rest) == 0 {
			dst = append(dst, key...)
			break
		}
		value, rest := splitToken(rest[1:])
		dst = append(dst, bytes.Trim(key, `"`)...)
		dst = append(dst, '=')
		dst = append(dst, unquote(value)...)
		if len(rest) == 0 {
			break
		}
		dst = append(dst, ' ')
		line = rest[1:]
	}
	return append(dst, '\n')
}

// splitToken splits a JSON string or scalar off the front of a line.
func splitToken(line []byte) (head, rest []byte) {
	if len(line) == 0 || line[0] != '"' {
		end := bytes.IndexAny(line, ",:")
		if end < 0 {
			end = len(line)
		}
		return line[:end], line[end:]
	}
	for i := 1; i < len(line); i++ {
		switch line[i] {
		case '\\':
			i++
		case '"':
			return line[:i+1], line[i+1:]
		}
	}
	return line, nil
}

func unquote(value []byte) []byte {
	if len(value) > 2 && value[0] == '"' && !bytes.ContainsAny(value, " \\=") {
		return value[1 : len(value)-1]
	}
	return value
}
