package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/cloud"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/tuning"
)

// The backoff of a capacity pool doubles with each refusal in a row, up to a limit.
func TestCapacityBackoffGrows(t *testing.T) {
	provisioner, now := newProvisioner(), time.Now()
	pool := capacityPool{machineType: "big", zone: "a"}
	want := tuning.NoCapacityBackoff
	for range 10 {
		provisioner.backOff(pool, now)
		if got := provisioner.backoffs[pool].until.Sub(now); got != want {
			t.Fatalf("backs off for %v instead of %v", got, want)
		}
		want = min(2*want, tuning.NoCapacityBackoffMax)
	}
}

// A provisioning request is sent only once it is recorded: if the leader failed in between,
// there would be machines that no record names. A request without a usable answer is sent
// again unchanged.
func TestRequestIsRecordedBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, now := newLoadedLeader(1, 1)
		calls := &recordingTransport{answer: make(chan struct{})}
		leader.Cloud = cloud.New("cloud:1", calls, httpclient.NewMalformedLog(leader.Log), 1000)
		leader.requestMachines(capacityPool{machineType: "big", zone: "a"}, 3, now)
		leader.callProvisioning(now)
		synctest.Wait()
		if n := len(calls.requestedHosts()); n != 0 {
			t.Fatalf("%d calls before the request was recorded", n)
		}
		for _, request := range leader.provisioner.requests {
			request.recorded = true
		}
		leader.callProvisioning(now)
		leader.callProvisioning(now) // one call is in flight
		synctest.Wait()
		if n := len(calls.requestedHosts()); n != 1 {
			t.Fatalf("%d calls after the request was recorded, want one in flight", n)
		}
		close(calls.answer)
		leader.handle(<-leader.inbox)
		leader.callProvisioning(time.Now())
		if n := len(calls.requestedHosts()); n != 1 {
			t.Fatalf("%d calls right after the failed one, want no retry before the backoff ends", n)
		}
		time.Sleep(tuning.MachineBackoff)
		leader.callProvisioning(time.Now())
		synctest.Wait()
		if n := len(calls.requestedHosts()); n != 2 {
			t.Errorf("%d calls after the backoff, want one retry", n)
		}
		if len(leader.provisioner.requests) != 1 {
			t.Errorf("%d requests, want the same one repeated", len(leader.provisioner.requests))
		}
	})
}
