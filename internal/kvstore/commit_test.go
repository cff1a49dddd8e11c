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

// writer is a leader that writes records under preconditions on the versions that it
// believes them to have. A user changes an open record from time to time.
type writer struct {
	t          *testing.T
	rng        *rand.Rand
	store      *fake.Store
	client     *kvstore.Client
	versions   map[string]protocol.Version // as the writer believes
	outcomes   map[int]error               // what the writer was told of each transaction
	mu         sync.Mutex
	executions map[int]int // how often each was executed, by number; protected by mu
	lastNumber int         // of the transaction under way
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

// timesExecuted is how often a transaction was executed.
func (w *writer) timesExecuted(number int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executions[number]
}

// newTerm makes all earlier transactions fail that may still be executed, and reads the
// versions.
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

// readOpenVersion reads the version of the record that the user changes too.
func (w *writer) readOpenVersion() {
	entry, err := w.client.Get(w.t.Context(), "open")
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		w.t.Fatal(err)
	}
	w.versions["open"] = entry.Version
}

// transaction rewrites some records, closes a job whose open record the user changes as
// well, or does both.
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

// recordVersions takes in that a transaction was executed.
func (w *writer) recordVersions(txn *protocol.Transaction, revision protocol.Revision) {
	for _, mutation := range txn.Mutations {
		if mutation.Delete != "" {
			delete(w.versions, mutation.Delete)
		} else {
			w.versions[mutation.Set] = revision.Version()
		}
	}
}

// step writes one transaction and goes on by what the client says of its outcome.
func (w *writer) step() {
	if w.versions["open"] == 0 {
		w.store.Put("open", "a job")
		w.newTerm()
	}
	txn := w.transaction()
	if len(txn.Mutations) == 0 {
		return
	}
	if w.rng.IntN(3) == 0 { // its user cancels it meanwhile
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
			w.t.Errorf("transaction %d is said to be executed, and was %d times", w.lastNumber, n)
		}
		w.recordVersions(&txn, reply.Revision)
	case errors.Is(err, kvstore.ErrConflict):
		w.readOpenVersion() // as a watch event would tell; all other versions are as believed
	case errors.Is(err, kvstore.ErrInDoubt):
		w.newTerm()
	}
	for key, version := range w.versions {
		if entry, err := w.client.Get(w.t.Context(), key); key != "open" && (err != nil || entry.Version != version) {
			w.t.Fatalf("%s has version %d and not %d after transaction %d, %v", key, entry.Version, version, w.lastNumber, w.outcomes[w.lastNumber])
		}
	}
}

// Whatever happens to a transaction and its answers, what its writer is told holds for
// good: it was executed once, or never was and never will be, or the outcome is unknown. A
// first attempt that was executed without an answer, and rejected for the limits when sent
// again, was once returned as not executed; tasks ran then that no record named.
func TestCommitUntilKnownTellsTheTruth(t *testing.T) {
	inDoubt, conflicts := 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			w := newWriter(t, seed)
			faults := rand.New(rand.NewPCG(seed, 4)) // the store asks for one fault at a time
			w.store.SetFault(func(*protocol.Transaction) fake.Fault {
				return []fake.Fault{fake.None, fake.None, fake.None, fake.AnswerLost,
					fake.NotExecuted, fake.OverLimit, fake.Throttled}[faults.IntN(7)]
			})
			w.store.SetLate(func() time.Duration {
				if faults.IntN(6) > 0 {
					return 0
				}
				return time.Duration(100+faults.IntN(10000)) * time.Millisecond
			})
			for range 40 {
				w.step()
			}
			time.Sleep(time.Minute) // transactions that are late have been executed
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
						t.Errorf("transaction %d was executed, and its writer told %v", number, err)
					}
				}
			}
		})
	}
	if inDoubt < 10 || conflicts < 10 {
		t.Errorf("only %d transactions were in doubt and %d in conflict", inDoubt, conflicts)
	}
}
