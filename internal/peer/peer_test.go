package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// fakePeer is a peer that acknowledges cancellations and restarts at random. It also
// implements the connection to itself, on which a request and a reply each take up to a
// second.
type fakePeer struct {
	rng    *rand.Rand // for the delays
	mu     sync.Mutex
	since  time.Time        // of the last restart
	jobIDs []protocol.JobID // acknowledged since the last restart
}

func (p *fakePeer) Invoke(_ context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	delay := func() time.Duration {
		if p.rng.IntN(2) == 0 {
			return time.Millisecond
		}
		return time.Duration(p.rng.IntN(900)) * time.Millisecond
	}
	requestDelay, replyDelay := delay(), delay()
	if requestDelay+replyDelay >= tuning.PeerTimeout {
		time.Sleep(tuning.PeerTimeout)
		return errors.New("no answer")
	}
	time.Sleep(requestDelay)
	p.mu.Lock()
	*reply.(*Status) = Status{AcknowledgedCancellations: slices.Clone(p.jobIDs), AcknowledgedCompleteMS: time.Since(p.since).Milliseconds()}
	p.mu.Unlock()
	time.Sleep(replyDelay)
	return nil
}

func (p *fakePeer) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("no streams")
}

// leadingNode is a LocalNode that leads, so its Group requests the acknowledged
// cancellations of the peers.
type leadingNode struct{}

func (leadingNode) Status(*StatusRequest) Status                    { return Status{} }
func (leadingNode) ObserveTerm(records.LeaderRecord)                {}
func (leadingNode) UserCall(context.Context, *UserCall) *UserAnswer { return nil }
func (leadingNode) IsLeader() bool                                  { return true }

// acknowledgment is a cancellation that a peer has acknowledged.
type acknowledgment struct {
	jobID protocol.JobID
	at    time.Time
}

// The result of AcknowledgedCancellations is compared with a record of all acknowledgments
// of the peers. None between since and the returned time may be missing, however late
// replies arrive, however often a peer restarts, and whenever AcknowledgedCancellations is
// called.
func TestAcknowledgedVouchesForNoMore(t *testing.T) {
	complete, refused := 0, 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(3 * time.Second) // until the calls in flight have ended
			}()
			rng := rand.New(rand.NewPCG(seed, 3))
			peers := map[string]*fakePeer{}
			var settings []config.Peer
			for i := range 3 {
				settings = append(settings, config.Peer{Node: fmt.Sprint("marble-", i)})
				peers[settings[i].Node] = &fakePeer{rng: rand.New(rand.NewPCG(seed, uint64(10+i))), since: time.Now()}
			}
			dial := func(p config.Peer) (grpc.ClientConnInterface, error) { return peers[p.Node], nil }
			group, err := NewGroup(settings, dial, leadingNode{}, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			group.Run(ctx)
			var acknowledgments []acknowledgment
			since := time.Now()
			for n := range 300 {
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				peer := peers[settings[rng.IntN(3)].Node]
				peer.mu.Lock()
				switch rng.IntN(25) {
				case 0:
					peer.jobIDs, peer.since = nil, time.Now()
				case 1:
					since = time.Now()
				case 2, 3, 4:
					jobID := protocol.JobID(fmt.Sprint("req-", n))
					peer.jobIDs = append(peer.jobIDs, jobID)
					acknowledgments = append(acknowledgments, acknowledgment{jobID, time.Now()})
				}
				peer.mu.Unlock()
				asOf, jobIDs, ok := group.AcknowledgedCancellations(since)
				if !ok {
					refused++
					continue
				}
				complete++
				for _, a := range acknowledgments {
					if a.at.After(since) && a.at.Before(asOf) && !slices.Contains(jobIDs, a.jobID) {
						t.Errorf("%s, acknowledged %v before the returned time, is missing", a.jobID, asOf.Sub(a.at))
					}
				}
			}
		})
	}
	if complete == 0 || refused == 0 {
		t.Errorf("%d lists were complete and %d incomplete: one of the two cases was not tested", complete, refused)
	}
}
