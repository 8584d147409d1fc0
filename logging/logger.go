package logging

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Console is the human-readable format; any other format is JSON.
const Console = "console"

// New returns a logger that writes lines of at least level to w.
func New(w *Writer, format, level string) (log *zap.Logger, err error) {
	defer func() { err = errors.Wrap(err, "make logger") }()
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if format == Console {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	return zap.New(messageOnlyErrors{zapcore.NewCore(encoder, w, minLevel)}), nil
}

// messageOnlyErrors is a core that logs errors as their message alone. Errors of
// cockroachdb/errors carry stack traces of several kilobytes, which zap would log
// in an additional field.
type messageOnlyErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c messageOnlyErrors) With(fields []zapcore.Field) zapcore.Core {
	return messageOnlyErrors{c.Core.With(stringifyErrors(fields))}
}

// Check implements zapcore.Core.
func (c messageOnlyErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c messageOnlyErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, stringifyErrors(fields))
}

// stringifyErrors returns fields with each error replaced by its message.
func stringifyErrors(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		out[i] = f
		err, ok := f.Interface.(error)
		if ok && f.Type == zapcore.ErrorType {
			out[i] = zap.String(f.Key, err.Error())
		}
	}
	return out
}
