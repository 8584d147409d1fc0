package logging

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Console is the format for people; every other one is JSON.
const Console = "console"

// New returns a logger that writes to w.
func New(w *Writer, format, level string) (log *zap.Logger, err error) {
	defer func() { err = errors.Wrap(err, "make logger") }()
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if format == Console {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	return zap.New(plainErrors{zapcore.NewCore(encoder, w, least)}), nil
}

// plainErrors writes errors as their message alone. Errors of cockroachdb carry
// stacks of several kilobytes, which zap would write beside the message.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
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
