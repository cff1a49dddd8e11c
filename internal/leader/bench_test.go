package leader

import (
	"fmt"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// A heartbeat that reports nothing new, to a leader with a thousand machines.
func BenchmarkHeartbeat(b *testing.B) {
	leader, now := newLoadedLeader(1000, 300)
	raw, _ := codec.Marshal(fullHeartbeat(leader, 0, 2))
	b.ReportAllocs()
	for i := range b.N {
		var heartbeat protocol.Heartbeat
		if err := codec.Unmarshal(raw, &heartbeat); err != nil {
			b.Fatal(err)
		}
		heartbeat.Sequence = uint64(2 + i)
		codec.Marshal(leader.onHeartbeat(&heartbeat, now))
	}
}

// A scheduling cycle in which nothing can be placed: every machine is full.
func BenchmarkScheduleFull(b *testing.B) {
	for _, machines := range []int{1000, 2100, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			leader, now := newLoadedLeader(machines, 300+machines/10)
			b.ReportAllocs()
			for range b.N {
				leader.schedule(now)
			}
		})
	}
}

// The work of a tick, and of planning handshakes with all machines after a failover,
// without the calls themselves.
func BenchmarkTick(b *testing.B) {
	for _, machines := range []int{1000, 2100, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			leader, now := newLoadedLeader(machines, 300+machines/10)
			leader.provisioner.listInFlight, leader.catalog.nextRead, leader.images.nextSave = true, now.Add(time.Hour), now.Add(time.Hour)
			leader.dispatcher.handshakesInFlight = tuning.HandshakesInFlight
			b.ReportAllocs()
			for range b.N {
				leader.onTick(now)
			}
		})
	}
}
