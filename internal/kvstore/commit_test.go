package kvstore_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
)

const termKey = "term"

// writer commits transactions as a leader does, with preconditions on the versions that it
// expects the records to have. Some of its steps run beside a user who changes the open
// record.
type writer struct {
	t          *testing.T
	rng        *rand.Rand
	store      *fake.Store
	client     *kvstore.Client
	versions   map[string]protocol.Version // that the writer expects, by key
	outcomes   map[int]error               // the result of each transaction, by number
	mu         sync.Mutex
	executions map[int]int // how often each transaction was executed, by number; protected by mu
	lastNumber int         // of the latest transaction
}

func newWriter(t *testing.T, seed uint64) *writer {
	w := &writer{t: t, rng: rand.New(rand.NewPCG(seed, 3)), store: fake.NewStore(),
		versions: map[string]protocol.Version{}, executions: map[int]int{}, outcomes: map[int]error{}}
	network := fake.NewNetwork(seed)
	network.Listen("state", "state:1", w.store)
	limits := config.State{StateLimits: config.StateLimits{ValueKB: 32, TxnOps: 20}}
	w.client = kvstore.New("state:1", network.From(t.Context(), "leader"), httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), limits)
	w.store.SetOnCommit(func(txn *protocol.Transaction) {
		for _, precondition := range txn.Preconditions {
			var number int
			if _, err := fmt.Sscanf(precondition.Key, "number/%d", &number); err == nil {
				w.mu.Lock()
				w.executions[number]++
				w.mu.Unlock()
			}
		}
	})
	w.newTerm()
	return w
}

// timesExecuted returns how often a transaction was executed.
func (w *writer) timesExecuted(number int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executions[number]
}

// newTerm changes the term key, so that earlier transactions that may still be executed
// fail, and reads all versions.
func (w *writer) newTerm() {
	w.store.Put(termKey, w.lastNumber)
	w.versions = map[string]protocol.Version{}
	page, err := w.client.ListAll(w.t.Context(), "")
	if err != nil {
		w.t.Fatal(err)
	}
	for _, entry := range page.Entries {
		w.versions[entry.Key] = entry.Version
	}
}

// readOpenVersion reads the version of the open record, which the user changes as well.
func (w *writer) readOpenVersion() {
	entry, err := w.client.Get(w.t.Context(), "open")
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		w.t.Fatal(err)
	}
	w.versions["open"] = entry.Version
}

// transaction returns a transaction that rewrites some run records, closes the job whose
// open record the user changes as well, or does both. It may have no mutations.
func (w *writer) transaction() protocol.Transaction {
	w.lastNumber++
	txn := protocol.Transaction{Preconditions: []protocol.Precondition{{Key: termKey, Version: w.versions[termKey]}, {Key: fmt.Sprint("number/", w.lastNumber)}}}
	addPrecondition := func(key string) {
		txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: key, Version: w.versions[key]})
	}
	for i := range 3 {
		if key := fmt.Sprint("run/", i); w.rng.IntN(2) == 0 {
			addPrecondition(key)
			txn.Mutations = append(txn.Mutations, protocol.Mutation{Set: key, Value: w.lastNumber})
		}
	}
	if w.versions["open"] > 0 && w.rng.IntN(2) == 0 {
		final := fmt.Sprint("final/", w.versions["open"])
		addPrecondition("open")
		addPrecondition(final)
		txn.Mutations = append(txn.Mutations, protocol.Mutation{Delete: "open"}, protocol.Mutation{Set: final, Value: w.lastNumber})
	}
	return txn
}

// recordVersions updates the expected versions after a transaction was executed.
func (w *writer) recordVersions(txn *protocol.Transaction, revision protocol.Revision) {
	for _, mutation := range txn.Mutations {
		if mutation.Delete != "" {
			delete(w.versions, mutation.Delete)
		} else {
			w.versions[mutation.Set] = revision.Version()
		}
	}
}

// step commits one transaction and updates the expected versions by the outcome that the
// client returns.
func (w *writer) step() {
	if w.versions["open"] == 0 {
		w.store.Put("open", "a job")
		w.newTerm()
	}
	txn := w.transaction()
	if len(txn.Mutations) == 0 {
		return
	}
	if w.rng.IntN(3) == 0 { // the user cancels the job while the transaction is in flight
		pause := time.Duration(w.rng.IntN(400)) * time.Millisecond
		go func() {
			time.Sleep(pause)
			if w.store.Value("open") != nil {
				w.store.Put("open", "cancelled")
			}
		}()
	}
	ctx, cancel := context.WithTimeout(w.t.Context(), time.Minute)
	defer cancel()
	reply, err := w.client.CommitUntilKnown(ctx, txn, termKey)
	time.Sleep(time.Second)
	w.outcomes[w.lastNumber] = err
	switch {
	case err == nil:
		if n := w.timesExecuted(w.lastNumber); n != 1 {
			w.t.Errorf("transaction %d was executed %d times, want once after a nil error", w.lastNumber, n)
		}
		w.recordVersions(&txn, reply.Revision)
	case errors.Is(err, kvstore.ErrConflict):
		w.readOpenVersion() // a leader receives it in a watch event; all other versions are as expected
	case errors.Is(err, kvstore.ErrInDoubt):
		w.newTerm()
	}
	for key, version := range w.versions {
		if entry, err := w.client.Get(w.t.Context(), key); key != "open" && (err != nil || entry.Version != version) {
			w.t.Fatalf("key %s has version %d, want %d, after transaction %d with error %v", key, entry.Version, version, w.lastNumber, w.outcomes[w.lastNumber])
		}
	}
}

// TestCommitUntilKnownTellsTheTruth checks that the result of CommitUntilKnown stays true
// when requests and responses are lost, late or rejected: a transaction was executed once, or
// was not executed and never will be, or its outcome is unknown. It guards against this
// fault: a first attempt was executed without a response, the retry was rejected because it
// exceeded the limits, and CommitUntilKnown reported the transaction as not executed, so
// tasks ran that no record named.
func TestCommitUntilKnownTellsTheTruth(t *testing.T) {
	inDoubt, conflicts := 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			w := newWriter(t, seed)
			faults := rand.New(rand.NewPCG(seed, 4)) // needs no lock: the store calls the hooks one at a time
			w.store.SetFault(func(*protocol.Transaction) fake.Fault {
				return []fake.Fault{fake.NoFault, fake.NoFault, fake.NoFault, fake.AnswerLost,
					fake.NotExecuted, fake.OverLimit, fake.Throttled}[faults.IntN(7)]
			})
			w.store.SetExecutionDelay(func() time.Duration {
				if faults.IntN(6) > 0 {
					return 0
				}
				return time.Duration(100+faults.IntN(10000)) * time.Millisecond
			})
			for range 40 {
				w.step()
			}
			time.Sleep(time.Minute) // by then the late transactions have been executed
			for number, err := range w.outcomes {
				switch {
				case errors.Is(err, kvstore.ErrInDoubt):
					inDoubt++
				case err == nil:
				case errors.Is(err, kvstore.ErrConflict):
					conflicts++
					fallthrough
				default:
					if w.timesExecuted(number) > 0 {
						t.Errorf("transaction %d was executed, but CommitUntilKnown returned %v", number, err)
					}
				}
			}
		})
	}
	if inDoubt < 10 || conflicts < 10 {
		t.Errorf("%d transactions in doubt and %d conflicts, want at least 10 of each", inDoubt, conflicts)
	}
}
