// Package api serves users, workers, health checks and volunteers.
package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/ledger"
	"marblehaven/internal/pause"
	"marblehaven/internal/peer"
	"marblehaven/internal/sched"
	"marblehaven/internal/statestore"
	"marblehaven/internal/tuning"
	"marblehaven/internal/wire"
)

// Operations of users.
const (
	opSubmit   = "submit"
	opPoll     = "poll"
	opWithdraw = "withdraw"
)

// Users answers users' calls straight at the state service, whoever leads: what
// it says is durable first, and read anew each time.
type Users struct {
	Config *config.Config
	Store  *statestore.Client
	Log    *slog.Logger

	types  atomic.Pointer[[]sched.Type]
	acks   acknowledged
	mu     sync.Mutex // guards finals
	finals map[string]wire.JobStatus
}

// NewUsers makes the users' side of a node.
func NewUsers(c *config.Config, store *statestore.Client, log *slog.Logger) *Users {
	return &Users{Config: c, Store: store, Log: log, acks: newAcknowledged(time.Now()), finals: map[string]wire.JobStatus{}}
}

// SetTypes tells which machine types there are; before, nothing is accepted.
func (u *Users) SetTypes(types []wire.MachineType) {
	out := make([]sched.Type, len(types))
	for i, t := range types {
		out[i] = sched.Type{Name: t.Name, Total: sched.Res{Cores: t.Cores, Cards: t.Cards, Mem: t.MemGB}, Zones: t.Zones}
	}
	u.types.Store(&out)
}

// HasTypes tells whether machine types are known.
func (u *Users) HasTypes() bool { return u.types.Load() != nil }

// Acknowledged names the jobs that users were told are cancelled, and since when
// none is missing.
func (u *Users) Acknowledged() (refs []string, since time.Time) { return u.acks.list() }

// answer is a user's answer; body is nil where only the status matters.
type answer struct {
	status int
	body   any
	// refused: the state service does not serve this node; a peer may do.
	refused bool
}

var (
	busy    = answer{status: 503}
	refused = answer{status: 503, refused: true}
)

func fault(status int, err error) answer {
	return answer{status: status, body: wire.ErrorReply{Error: err.Error()}}
}

// Do answers one call.
func (u *Users) Do(ctx context.Context, op, ref string, body []byte) answer {
	limit := tuning.UserDeadline
	if op == opPoll {
		limit = tuning.PollDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	switch op {
	case opSubmit:
		return u.submit(ctx, body)
	case opPoll:
		return u.poll(ctx, ref)
	case opWithdraw:
		return u.withdraw(ctx, ref)
	}
	return busy
}

// UserCall answers a call that a peer passed on.
func (u *Users) UserCall(ctx context.Context, c *peer.UserCall) *peer.UserAnswer {
	a := u.Do(ctx, c.Op, c.Ref, c.Body)
	out := &peer.UserAnswer{Status: a.status}
	if a.body != nil {
		out.Body, _ = wire.Marshal(a.body)
	}
	return out
}

// known is a job as found in the state service.
type known struct {
	status wire.JobStatus
	open   ledger.OpenJob
	ver    uint64 // of the open record; 0: the job is over
	broken bool   // its open record cannot be read, so it cannot be rewritten
}

// find reads a job; nil means that it was never accepted. The final record is
// read after the open one, and closing moves the job in one commit, so a job
// found at neither place was at neither when the open record was read.
func (u *Users) find(ctx context.Context, ref string) (*known, error) {
	u.mu.Lock()
	st, ok := u.finals[ref]
	u.mu.Unlock()
	if ok {
		return &known{status: st}, nil
	}
	// Both records of an open job in one read: o/<ref> and o/<ref>/t sort
	// next to each other.
	page, err := u.Store.List(ctx, ledger.OpenKey(ref), "", 2)
	if err != nil {
		return nil, err
	}
	if len(page.Items) > 0 && page.Items[0].Key == ledger.OpenKey(ref) {
		k := &known{ver: page.Items[0].Version, status: wire.JobStatus{ID: ref, Phase: wire.PhaseQueued}}
		if err := wire.Unmarshal(page.Items[0].Value, &k.open); err != nil {
			// That the record is there says that the job was accepted. Refusing
			// to answer would make it forgotten.
			u.Log.Error("unreadable job record", "job", ref, "err", err)
			k.open.Cancelled = ledger.SaysCancelled(page.Items[0].Value)
			k.broken = true
		}
		if len(page.Items) > 1 && page.Items[1].Key == ledger.RunKey(ref) {
			var r ledger.Run
			if err := wire.Unmarshal(page.Items[1].Value, &r); err == nil {
				k.status.Done, k.status.Running = r.Done.Count(), len(r.Live)
			}
		}
		if k.status.Running > 0 {
			k.status.Phase = wire.PhaseRunning
		}
		if k.open.Cancelled {
			k.status.Phase = wire.PhaseCancelled
			u.acks.add(ref)
		}
		return k, nil
	}
	it, err := u.Store.Get(ctx, ledger.FinalKey(ref))
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var f ledger.Final
	if err := wire.Unmarshal(it.Value, &f); err != nil {
		return nil, fmt.Errorf("unreadable record of %s: %w", ref, err)
	}
	// Nothing of a job with a final record can run, so to say that it is cancelled
	// is no acknowledgment that a leader would have to know of.
	st = wire.JobStatus{ID: ref, Phase: f.Phase, Done: f.Tasks}
	u.mu.Lock()
	if len(u.finals) >= tuning.FinalCache {
		clear(u.finals)
	}
	u.finals[ref] = st
	u.mu.Unlock()
	return &known{status: st}, nil
}

// settle runs one attempt after another until there is a certain answer. Being
// throttled is waited out a few times; a refusal is passed on at once.
func (u *Users) settle(ctx context.Context, tries int, try func() (answer, error)) answer {
	for throttled := 0; ; {
		a, err := try()
		switch {
		case err == nil:
			return a
		case errors.Is(err, statestore.ErrThrottled):
			if throttled++; throttled > tries {
				return busy
			}
		case errors.Is(err, statestore.ErrRefused):
			return refused
		case errors.Is(err, statestore.ErrMalformed):
			u.Log.Error("record refused", "err", err)
			return busy
		}
		// Otherwise the outcome is unknown: the next try reads before it
		// writes, or its write's guards find out.
		if !pause.For(ctx, tuning.UserRetryPause) {
			return refused
		}
	}
}

func (u *Users) poll(ctx context.Context, ref string) answer {
	if !wire.ValidID(ref) {
		return fault(404, errors.New("no such job"))
	}
	return u.settle(ctx, tuning.PollThrottleTries, func() (answer, error) {
		k, err := u.find(ctx, ref)
		if err != nil {
			return answer{}, err
		}
		if k == nil {
			return fault(404, errors.New("no such job")), nil
		}
		return answer{status: 200, body: k.status}, nil
	})
}

func (u *Users) submit(ctx context.Context, body []byte) answer {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return fault(400, err)
	}
	types := u.types.Load()
	if types == nil {
		return busy
	}
	if err := u.runnable(job, *types); err != nil {
		// A job that was accepted stays accepted, also if the catalog has
		// changed since.
		return u.settle(ctx, tuning.UserThrottleTries, func() (answer, error) {
			k, ferr := u.find(ctx, job.ID)
			switch {
			case ferr != nil:
				return answer{}, ferr
			case k != nil:
				return answer{status: 200, body: k.status}, nil
			}
			return fault(422, err), nil
		})
	}
	// Only types that exist are kept: a long list of others must not make the
	// record too large for the state service.
	job.Types = slices.DeleteFunc(job.Types, func(name string) bool {
		return !slices.ContainsFunc(*types, func(t sched.Type) bool { return t.Name == name })
	})
	slices.Sort(job.Types)
	job.Types = slices.Compact(job.Types)
	open := ledger.OpenJob{Job: *job, AtMS: time.Now().UnixMilli()}
	return u.settle(ctx, tuning.UserThrottleTries, func() (answer, error) {
		_, err := u.Store.Commit(ctx, wire.Commit{
			Guards:  []wire.Guard{{Key: ledger.OpenKey(job.ID)}, {Key: ledger.FinalKey(job.ID)}},
			Changes: []wire.Change{{Set: ledger.OpenKey(job.ID), Value: open}},
		})
		if err == nil {
			return answer{status: 201, body: wire.JobStatus{ID: job.ID, Phase: wire.PhaseQueued}}, nil
		}
		if !errors.Is(err, statestore.ErrConflict) {
			return answer{}, err
		}
		k, err := u.find(ctx, job.ID)
		if err != nil {
			return answer{}, err
		}
		if k == nil {
			return answer{}, statestore.ErrUnknown // guards failed, yet nothing is there: look again
		}
		return answer{status: 200, body: k.status}, nil
	})
}

// runnable tells why a job can never run.
func (u *Users) runnable(j *wire.Job, types []sched.Type) error {
	team := u.Config.Team(j.Team)
	if team == nil {
		return errors.New("unknown team")
	}
	fits := false
	for i := range types {
		fits = fits || sched.TypeFits(&types[i], j)
	}
	if !fits {
		return errors.New("a task fits no allowed machine type")
	}
	n := float64(j.Tasks)
	if j.Shape == wire.Array {
		n = 1
	}
	if over(n*j.Cores, team.CoresMax) || over(n*j.Cards, team.CardsMax) {
		return errors.New("the job needs more than its team's limit")
	}
	return nil
}

// over compares with a limit, of which 0 is none.
func over(need, limit float64) bool { return limit > 0 && need > limit*(1+1e-9) }

func (u *Users) withdraw(ctx context.Context, ref string) answer {
	if !wire.ValidID(ref) {
		return fault(404, errors.New("no such job"))
	}
	return u.settle(ctx, tuning.UserThrottleTries, func() (answer, error) {
		k, err := u.find(ctx, ref)
		switch {
		case err != nil:
			return answer{}, err
		case k == nil:
			return fault(404, errors.New("no such job")), nil
		case k.ver == 0 || k.open.Cancelled:
			return answer{status: 200, body: k.status}, nil
		case k.broken:
			return busy, nil
		}
		k.open.Cancelled = true
		_, err = u.Store.Commit(ctx, wire.Commit{
			Guards:  []wire.Guard{{Key: ledger.OpenKey(ref), Version: k.ver}},
			Changes: []wire.Change{{Set: ledger.OpenKey(ref), Value: k.open}},
		})
		if errors.Is(err, statestore.ErrConflict) {
			return answer{}, statestore.ErrUnknown // it changed meanwhile: look again
		}
		if err != nil {
			return answer{}, err
		}
		u.acks.add(ref)
		k.status.Phase = wire.PhaseCancelled
		return answer{status: 200, body: k.status}, nil
	})
}
