package config

// StateLimits holds limits of the state service.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// NextLimits holds the limits that the state service will have; a field left out
// stays as it is.
type NextLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// State holds the present limits of the state service and those announced for
// some moment after an upgrade.
type State struct {
	StateLimits
	Next NextLimits `json:"next"`
}

// Smaller returns for each limit the smaller of the present and the announced
// one: what respects it is accepted before and after the change.
func (s State) Smaller() StateLimits {
	return StateLimits{
		RPS:      smaller(s.RPS, s.Next.RPS),
		WriteRPS: smaller(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  smaller(s.ValueKB, s.Next.ValueKB),
		TxnOps:   smaller(s.TxnOps, s.Next.TxnOps),
	}
}

func smaller[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// ValueBytes is the largest value in bytes as JSON.
func (l StateLimits) ValueBytes() int { return int(l.ValueKB * 1024) }
