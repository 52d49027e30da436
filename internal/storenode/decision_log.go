package storenode

import (
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/monotonic"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	// logLinesPerSecond and logLineBurst limit the log lines about decisions, per reason, and those
	// about other frequent events, per kind.
	logLinesPerSecond = 20
	logLineBurst      = 100
	// suppressedInterval is how often the number of suppressed lines is logged.
	suppressedInterval = 10 * time.Second

	messageDecision   = "packet decided"
	messageSuppressed = "log lines suppressed"
)

// decisionLog logs each decision other than to forward a packet of an established flow, within a rate
// limit per reason.
type decisionLog struct {
	log    logr.Logger
	budget *telemetry.LogLimiter
}

func newDecisionLog(log logr.Logger) *decisionLog {
	return &decisionLog{log: log, budget: telemetry.NewLogLimiter(int(token.ReasonCount), logLinesPerSecond, logLineBurst)}
}

var actionNames = map[token.Action]string{
	token.Drop: "drop", token.Forward: "forward", token.Refuse: "refuse", token.Hold: "hold",
}

// logDecision logs the decision on a packet and what it was based on.
func (l *decisionLog) logDecision(table *token.Table, packet *token.Packet, decision *token.Decision, confirmedUntil int64) {
	isRoutine := decision.Action == token.Forward && decision.Reason == token.ReasonNone
	if isRoutine || !l.budget.Allow(int(decision.Reason)) {
		return
	}
	target := ""
	if decision.Target != nil {
		target = strconv.FormatUint(decision.Target.Identifier, 16)
	}
	l.log.Info(messageDecision,
		telemetry.FieldFlow, flowName(packet),
		telemetry.FieldAction, actionNames[decision.Action],
		telemetry.FieldReason, decision.Reason.String(),
		telemetry.FieldTarget, target,
		telemetry.FieldVersion, table.Version,
		telemetry.FieldConfirmed, millisecondsSinceConfirmed(confirmedUntil),
	)
}

// millisecondsSinceConfirmed returns how many milliseconds ago the store confirmed the view, given until
// when that confirmation is valid, in nanoseconds of package monotonic; -1 if the store has not confirmed
// it yet.
func millisecondsSinceConfirmed(until int64) int64 {
	if until == 0 {
		return -1
	}
	return (time.Since(monotonic.Time(until)) + confirmationLifetime).Milliseconds()
}

func flowName(packet *token.Packet) string {
	return packet.Source.String() + ">" + packet.Destination.String()
}

// newLogLimiter returns a limiter of log lines of one kind.
func newLogLimiter() *telemetry.LogLimiter {
	return telemetry.NewLogLimiter(1, logLinesPerSecond, logLineBurst)
}

// logSuppressed logs the number of suppressed lines, at most once per suppressedInterval.
func (n *Node) logSuppressed(now time.Time) {
	if now.Before(n.nextSuppressedAt) {
		return
	}
	n.nextSuppressedAt = now.Add(suppressedInterval)
	for reason := range token.ReasonCount {
		n.logSuppressedCount(reason.String(), n.plane.decisionLog.budget.TakeSuppressed(int(reason)))
	}
	n.logSuppressedCount(messageSuperseded, n.successionLog.TakeSuppressed(0))
	n.logSuppressedCount(string(followed.EventInvalidEntry), n.invalidLog.TakeSuppressed(0))
}

func (n *Node) logSuppressedCount(reason string, count uint64) {
	if count > 0 {
		n.log.Info(messageSuppressed, telemetry.FieldReason, reason, telemetry.FieldCount, count)
	}
}
