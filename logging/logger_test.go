package logging

import (
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

var _ = Describe("messageOnlyErrors", func() {
	It("logs the message of an error without its stack trace", func() {
		core, logs := observer.New(zapcore.InfoLevel)
		log := zap.New(messageOnlyErrors{core})
		err := errors.Wrap(errors.New("refused"), "dial")
		log.With(zap.NamedError("cause", err)).Warn("late", zap.Error(err))
		log.Debug("below the level")
		Expect(logs.Len()).To(Equal(1))
		Expect(logs.All()[0].ContextMap()).To(Equal(map[string]any{"cause": "dial: refused", "error": "dial: refused"}))
	})
})
