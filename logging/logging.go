// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to standard output. It limits the rate of each
// event. Logging never blocks on a slow reader: lines that do not fit into the queue are
// dropped. level is debug, info, warn or error. Sync waits, for a bounded time, until
// queued lines are written.
func New(level, role, name string) (*zap.Logger, error) {
	return newRateLimitedLogger(os.Stdout, level, role, name)
}

func newRateLimitedLogger(writer io.Writer, level, role, name string) (*zap.Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	lines := newQueue(writer)
	core := &rateLimitedCore{Core: zapcore.NewCore(newEncoder(), lines, parsed), limiter: newRateLimiter(time.Now), queue: lines}
	return zap.New(core).With(zap.String("role", role), zap.String("name", name)), nil
}

func parseLevel(level string) (zapcore.Level, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return 0, eris.Errorf("log.level is %q: use debug, info, warn or error", level)
	}
	return parsed, nil
}

func newEncoder() *encoder { return &encoder{MapObjectEncoder: zapcore.NewMapObjectEncoder()} }

// NewTo returns a logger that writes each line to writer synchronously and without
// rate limit.
func NewTo(writer io.Writer, level, role, name string) (*zap.Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(writer)), parsed)
	return zap.New(core).With(zap.String("role", role), zap.String("name", name)), nil
}

// ErrorFields returns the fields that describe an error: the step that failed, the peer that
// was involved, and the error's text.
func ErrorFields(step, peer string, err error) []zap.Field {
	return []zap.Field{zap.String("step", step), zap.String("peer", peer), zap.String("error", ErrorText(err))}
}

// ErrorText returns the text of an error chain on one line, or "" if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(eris.ToString(err, false), "\n", " ")
}

// Is reports whether target is in err's chain, including chains of eris wrappers.
func Is(err, target error) bool { return errors.Is(err, target) || eris.Is(err, target) }

var buffers = buffer.NewPool()

// encoder is a zapcore.Encoder that writes key=value lines.
type encoder struct {
	*zapcore.MapObjectEncoder
}

// Clone implements zapcore.Encoder.
func (e *encoder) Clone() zapcore.Encoder {
	copied := &encoder{MapObjectEncoder: zapcore.NewMapObjectEncoder()}
	for key, value := range e.Fields {
		copied.Fields[key] = value
	}
	return copied
}

// EncodeEntry implements zapcore.Encoder.
func (e *encoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	line := buffers.Get()
	appendPair(line, "time", entry.Time.UTC().Format("2006-01-02T15:04:05.000Z"))
	appendPair(line, "level", entry.Level.String())
	appendPair(line, "event", entry.Message)
	contextKeys := make([]string, 0, len(e.Fields))
	for key := range e.Fields {
		contextKeys = append(contextKeys, key)
	}
	slices.Sort(contextKeys)
	for _, key := range contextKeys {
		appendPair(line, key, e.Fields[key])
	}
	entryFields := zapcore.NewMapObjectEncoder()
	for _, field := range fields {
		field.AddTo(entryFields)
		if value, set := entryFields.Fields[field.Key]; set {
			appendPair(line, field.Key, value)
		}
	}
	line.AppendByte('\n')
	return line, nil
}

func appendPair(line *buffer.Buffer, key string, value any) {
	if line.Len() > 0 {
		line.AppendByte(' ')
	}
	line.AppendString(key)
	line.AppendByte('=')
	text := formatValue(value)
	if text == "" || strings.ContainsAny(text, " =\"\n\r\t") {
		text = strconv.Quote(text)
	}
	line.AppendString(text)
}

func formatValue(value any) string {
	switch typed := value.(type) {
	case string:
		return typed
	case time.Duration:
		return typed.String()
	default:
		return fmt.Sprint(typed)
	}
}
