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

// New returns a logger that writes to standard output, with a bounded volume and
// without ever waiting for whoever reads it. level is debug, info, warn or error.
// Sync waits a moment for what is still to be written.
func New(level, role, name string) (*zap.Logger, error) {
	return newBounded(os.Stdout, level, role, name)
}

func newBounded(writer io.Writer, level, role, name string) (*zap.Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	lines := newQueue(writer)
	core := &boundedCore{Core: zapcore.NewCore(newEncoder(), lines, parsed), budgets: newBudgets(time.Now), queue: lines}
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

// NewTo writes every line to the writer before it returns.
func NewTo(writer io.Writer, level, role, name string) (*zap.Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(writer)), parsed)
	return zap.New(core).With(zap.String("role", role), zap.String("name", name)), nil
}

// Step returns the fields of an error: the step at which it arose and the peer.
func Step(step, peer string, err error) []zap.Field {
	return []zap.Field{zap.String("step", step), zap.String("peer", peer), zap.String("error", Text(err))}
}

// Text flattens an error chain to one line.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(eris.ToString(err, false), "\n", " ")
}

// Is reports whether target is in err's chain, also across eris wrappers.
func Is(err, target error) bool { return errors.Is(err, target) || eris.Is(err, target) }

var buffers = buffer.NewPool()

// encoder is a zapcore.Encoder for key=value lines.
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
	context := make([]string, 0, len(e.Fields))
	for key := range e.Fields {
		context = append(context, key)
	}
	slices.Sort(context)
	for _, key := range context {
		appendPair(line, key, e.Fields[key])
	}
	own := zapcore.NewMapObjectEncoder()
	for _, field := range fields {
		field.AddTo(own)
		if value, set := own.Fields[field.Key]; set {
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
	text := textOf(value)
	if text == "" || strings.ContainsAny(text, " =\"\n\r\t") {
		text = strconv.Quote(text)
	}
	line.AppendString(text)
}

func textOf(value any) string {
	switch typed := value.(type) {
	case string:
		return typed
	case time.Duration:
		return typed.String()
	default:
		return fmt.Sprint(typed)
	}
}
