package codec

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// JSONSize must be at least the size that the JSON encoder of the standard library
// produces, since the key-value store would reject a value whose size was underestimated.
// It may be larger by no more than the choice of forms that JSON allows.
func TestJSONSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var value func(depth int) any
	value = func(depth int) any {
		switch n := rng.IntN(10); {
		case n == 0:
			return nil
		case n == 1:
			return rng.IntN(2) == 0
		case n == 2:
			return rng.Float64() * 1000
		case n == 3:
			return float64(rng.IntN(100))
		case n < 6:
			return rng.Int64() >> rng.IntN(63)
		case n < 8 || depth == 0:
			return []string{"", "req-000412", "a \"quoted\" one", "über", "\n"}[rng.IntN(5)]
		case n == 8:
			list := make([]any, rng.IntN(20))
			for i := range list {
				list[i] = value(depth - 1)
			}
			return list
		}
		fields := map[string]any{}
		for range rng.IntN(20) {
			fields[[]string{"ref", "pieces", "cores", "x", "imageGb", "zone"}[rng.IntN(6)]] = value(depth - 1)
		}
		return fields
	}
	for range 2000 {
		v := value(3)
		packed, err := Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		plain, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		got, err := JSONSize(packed)
		if err != nil || got < len(plain) || got > 3*len(plain)+8 {
			t.Fatalf("%s: JSONSize is %d for %d bytes, %v", plain, got, len(plain), err)
		}
	}
	for _, raw := range [][]byte{nil, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xc0, 0xc0}, {0xdc, 0x10}} {
		if n, err := JSONSize(raw); err == nil {
			t.Errorf("malformed value %x: JSONSize is %d instead of an error", raw, n)
		}
	}
}
