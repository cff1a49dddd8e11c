package config

// StateLimits holds limits of the key-value store: requests and writes per second, the size
// of a value, and the mutations in a transaction.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// NextLimits holds the announced limits of the key-value store. A limit that is left out
// does not change.
type NextLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// State holds the present limits of the key-value store and the announced ones, which take
// effect at an unknown time after an upgrade of the controllers.
type State struct {
	StateLimits
	Next NextLimits `json:"next"`
}

// StricterLimits returns for each limit the smaller of the present and the announced one.
// A request within these limits is accepted before and after the change.
func (s State) StricterLimits() StateLimits {
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

// ValueBytes returns the size limit of a value, in bytes as JSON.
func (l StateLimits) ValueBytes() int { return int(l.ValueKB * 1024) }
