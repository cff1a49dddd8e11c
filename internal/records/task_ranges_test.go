package records

import (
	"math/rand/v2"
	"testing"
)

// TaskRanges holds the same members as a plain set, and its ranges never touch.
func TestRanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		var r TaskRanges
		plain := map[int]bool{}
		size := 1 + rng.IntN(200)
		for range rng.IntN(300) {
			n := rng.IntN(size)
			r.Add(n)
			plain[n] = true
		}
		for n := range size {
			if r.Has(n) != plain[n] {
				t.Fatalf("Has(%d) is %v in %v, the plain set differs", n, r.Has(n), r)
			}
		}
		if r.Count() != len(plain) {
			t.Fatalf("Count() is %d, want %d", r.Count(), len(plain))
		}
		for i := 1; i < len(r); i++ {
			if r[i][0] <= r[i-1][1]+1 {
				t.Fatalf("ranges touch: %v", r)
			}
		}
	}
}
