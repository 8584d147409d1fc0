package router

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hornbeamstage/hornbeamstage/settings"
)

// newLogger returns the logger that the settings ask for.
func newLogger(s *settings.Settings) (log *zap.Logger, err error) {
	defer func() { err = errors.Wrap(err, "make logger") }()
	cfg := zap.NewProductionConfig()
	cfg.Encoding = s.Log.Format
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.DisableStacktrace = true
	cfg.Level, err = zap.ParseAtomicLevel(s.Log.Level)
	if err != nil {
		return nil, err
	}
	log, err = cfg.Build(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return plainErrors{c} }))
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("instance", string(s.Instance.ID))), nil
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
