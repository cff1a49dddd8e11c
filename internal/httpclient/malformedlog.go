package httpclient

import (
	"log/slog"
	"sync/atomic"
	"time"

	"marblehaven/internal/tuning"
)

// MalformedLog logs malformed messages at a limited rate. It is safe for concurrent use.
type MalformedLog struct {
	log        *slog.Logger
	lastLogged atomic.Int64 // Unix time in nanoseconds
}

// NewMalformedLog returns a MalformedLog that writes to log.
func NewMalformedLog(log *slog.Logger) *MalformedLog { return &MalformedLog{log: log} }

// Record logs a malformed message, unless another was logged less than
// tuning.ErrorLogInterval ago.
func (m *MalformedLog) Record(from string, err error) {
	now := time.Now().UnixNano()
	last := m.lastLogged.Load()
	if now-last >= int64(tuning.ErrorLogInterval) && m.lastLogged.CompareAndSwap(last, now) {
		m.log.Error("malformed message", "from", from, "err", err)
	}
}
