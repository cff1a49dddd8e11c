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

// teller is a peer that acknowledges cancellations and restarts at random; it is
// reached over a link on which each way takes up to a second.
type teller struct {
	rng    *rand.Rand // of the link
	mu     sync.Mutex
	since  time.Time
	jobIDs []protocol.JobID
}

func (p *teller) Invoke(ctx context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	way := func() time.Duration {
		if p.rng.IntN(2) == 0 {
			return time.Millisecond
		}
		return time.Duration(p.rng.IntN(900)) * time.Millisecond
	}
	out, back := way(), way()
	if out+back >= tuning.PeerTimeout {
		time.Sleep(tuning.PeerTimeout)
		return errors.New("no answer")
	}
	time.Sleep(out)
	p.mu.Lock()
	*reply.(*Status) = Status{Acknowledged: slices.Clone(p.jobIDs), CompleteMS: time.Since(p.since).Milliseconds()}
	p.mu.Unlock()
	time.Sleep(back)
	return nil
}

func (p *teller) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("no streams")
}

type leader struct{}

func (leader) Status(*StatusRequest) Status                    { return Status{} }
func (leader) ObserveTerm(records.LeaderRecord)                {}
func (leader) UserCall(context.Context, *UserCall) *UserAnswer { return nil }
func (leader) IsLeader() bool                                  { return true }

// What Acknowledged vouches for is compared with all that the peers told: nothing
// told up to its time may be missing, however late answers come, however often a
// peer restarts, and whenever it is asked in between.
func TestAcknowledgedVouchesForNoMore(t *testing.T) {
	vouched, refused := 0, 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(3 * time.Second) // calls under way come to their end
			}()
			rng := rand.New(rand.NewPCG(seed, 3))
			peers := map[string]*teller{}
			var cfg []config.Peer
			for i := range 3 {
				cfg = append(cfg, config.Peer{Node: fmt.Sprint("marble-", i)})
				peers[cfg[i].Node] = &teller{rng: rand.New(rand.NewPCG(seed, uint64(10+i))), since: time.Now()}
			}
			g, err := NewGroup(cfg, func(p config.Peer) (grpc.ClientConnInterface, error) { return peers[p.Node], nil }, leader{}, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			g.Run(ctx)
			type told struct {
				jobID protocol.JobID
				at    time.Time
			}
			var all []told
			proof := time.Now()
			for n := range 300 {
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				p := peers[cfg[rng.IntN(3)].Node]
				p.mu.Lock()
				switch rng.IntN(25) {
				case 0:
					p.jobIDs, p.since = nil, time.Now()
				case 1:
					proof = time.Now()
				case 2, 3, 4:
					jobID := protocol.JobID(fmt.Sprint("req-", n))
					p.jobIDs = append(p.jobIDs, jobID)
					all = append(all, told{jobID, time.Now()})
				}
				p.mu.Unlock()
				asOf, jobIDs, ok := g.Acknowledged(proof)
				if !ok {
					refused++
					continue
				}
				vouched++
				for _, a := range all {
					if a.at.After(proof) && a.at.Before(asOf) && !slices.Contains(jobIDs, a.jobID) {
						t.Errorf("%s, told %v before the time vouched for, is missing", a.jobID, asOf.Sub(a.at))
					}
				}
			}
		})
	}
	if vouched == 0 || refused == 0 {
		t.Errorf("%d times vouched, %d times not: nothing was tested", vouched, refused)
	}
}
