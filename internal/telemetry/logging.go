// Package telemetry makes a daemon's logger, metrics and health endpoints.
package telemetry

import (
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log field names, the same everywhere.
const (
	FieldAddress  = "address"
	FieldDetail   = "detail"
	FieldReason   = "reason"
	FieldRevision = "revision"
	FieldZone     = "zone"
)

// NewLogger makes a logger; level is error, info or debug, format json or
// console.
func NewLogger(level, format string) (logr.Logger, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.Sampling = nil
	config.DisableStacktrace = true
	config.DisableCaller = true
	if format == "console" {
		config.Encoding = "console"
		config.EncoderConfig.EncodeLevel = zapcore.CapitalLevelEncoder
	}
	switch level {
	case "error":
		config.Level = zap.NewAtomicLevelAt(zapcore.ErrorLevel)
	case "debug":
		config.Level = zap.NewAtomicLevelAt(zapcore.DebugLevel)
	}
	built, err := config.Build()
	if err != nil {
		return logr.Discard(), eris.Wrap(err, "logger")
	}
	return zapr.NewLogger(built), nil
}
