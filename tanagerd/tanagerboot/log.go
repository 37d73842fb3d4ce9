package tanagerboot

import (
	"bytes"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logLines is how many lines of the log may wait for the output.
	logLines = 20000
	// logPoll is how often waiting lines are written.
	logPoll = 20 * time.Millisecond
)

// newLog returns a log that never blocks: lines that do not fit are dropped and
// counted.
func newLog(out io.Writer) zerolog.Logger {
	var log zerolog.Logger
	writer := diode.NewWriter(keyValueWriter{out: out}, logLines, logPoll, func(missed int) {
		log.Warn().Str("event", "log_lines_dropped").Int("lines", missed).Send()
	})
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log = zerolog.New(writer).With().Timestamp().Logger()
	return log
}

// keyValueWriter turns zerolog's flat JSON objects into key=value lines. It is
// much cheaper than decoding them, which the log's volume makes count.
type keyValueWriter struct {
	out io.Writer
}

// Write implements io.Writer for one whole line.
func (w keyValueWriter) Write(line []byte) (int, error) {
	if _, err := w.out.Write(keyValues(make([]byte, 0, len(line)), line)); err != nil {
		return 0, err
	}
	return len(line), nil
}

// keyValues appends the key=value form of a flat JSON object. Strings keep their
// quotes and escapes only where they hold a space or an escape.
func keyValues(to, line []byte) []byte {
	line = bytes.TrimSpace(line)
	if len(line) < 2 || line[0] != '{' || line[len(line)-1] != '}' {
		return append(append(to, line...), 0x0a)
	}
	line = line[1 : len(line)-1]
	for len(line) > 0 {
		key, rest := token(line)
		if len(rest) == 0 {
			to = append(to, key...)
			break
		}
		value, rest := token(rest[1:])
		to = append(to, bytes.Trim(key, `"`)...)
		to = append(to, '=')
		to = append(to, plain(value)...)
		if len(rest) == 0 {
			break
		}
		to = append(to, ' ')
		line = rest[1:]
	}
	return append(to, '\n')
}

// token splits a JSON string or other scalar off the front of a line.
func token(line []byte) (head, rest []byte) {
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

func plain(value []byte) []byte {
	if len(value) > 2 && value[0] == '"' && !bytes.ContainsAny(value, " \\=") {
		return value[1 : len(value)-1]
	}
	return value
}
