package leader

import (
	"fmt"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// A report that says nothing new, at the size of the grown deployments.
func BenchmarkReport(b *testing.B) {
	c, now := large(1000, 300)
	raw, _ := codec.Marshal(fullReport(c, 0, 2))
	b.ReportAllocs()
	for i := range b.N {
		var r protocol.Heartbeat
		if err := codec.Unmarshal(raw, &r); err != nil {
			b.Fatal(err)
		}
		r.Sequence = uint64(2 + i)
		codec.Marshal(c.onHeartbeat(&r, now))
	}
}

// A decision pass in which nothing can be placed: every machine is full.
func BenchmarkPassFull(b *testing.B) {
	for _, machines := range []int{1000, 2100, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			c, now := large(machines, 300+machines/10)
			b.ReportAllocs()
			for range b.N {
				c.schedule(now)
			}
		})
	}
}

// What is done twice a second whatever happens, and handshakes with all machines at a
// takeover, but for the calls themselves.
func BenchmarkTick(b *testing.B) {
	for _, machines := range []int{1000, 2100, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			c, now := large(machines, 300+machines/10)
			c.provisioner.listInFlight, c.catalog.nextRead, c.images.nextSave = true, now.Add(time.Hour), now.Add(time.Hour)
			c.dispatcher.handshakesInFlight = tuning.HandshakesInFlight
			b.ReportAllocs()
			for range b.N {
				c.onTick(now)
			}
		})
	}
}
