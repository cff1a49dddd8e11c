package peer

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// testdata/production.json holds records and peers' messages as the version in production
// (deploy/service.toml) writes them, in hexadecimal. During an upgrade each version reads
// what the other writes, so this version must decode them to the same values and, where no
// newer field is set, encode these values to the same bytes.
func TestProductionFormats(t *testing.T) {
	raw, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var productionHex map[string]string
	if err := json.Unmarshal(raw, &productionHex); err != nil {
		t.Fatal(err)
	}
	job := protocol.Job{ID: "req-000412", Class: "train", Team: "vision", Kind: protocol.KindGang, Priority: protocol.PriorityHigh, Tasks: 16, Cores: 8, GPUs: 1,
		MemGB: 64, Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240, CheckpointIntervalS: 30, CheckpointSaveS: 4, DeadlineS: 900}
	const atMS = 1790000000123
	term := records.LeaderRecord{Term: 41, Node: "marble-2"}
	for name, want := range map[string]any{
		"open":      &records.OpenJob{Job: job, AcceptedMS: atMS},
		"cancelled": &records.OpenJob{Job: job, AcceptedMS: atMS, Cancelled: true},
		"run": &records.RunRecord{NextAttempt: 900, Done: records.TaskRanges{{0, 3}, {7, 7}, {40, 99}}, Placements: []records.Placement{
			{Task: 5, Attempt: 12, Machine: "m-000231", Incarnation: 2, Zone: "a"}, {Task: 101, Attempt: 899, Machine: "m-000007", Incarnation: 1}}},
		"final": &records.FinalRecord{Phase: protocol.PhaseDone, TasksDone: 16},
		"term":  &term,
		"claim": &records.ProvisioningRequest{ID: "r-41-7", Type: "g8", Zone: "a", Spot: true, Count: 12, RequestedMS: atMS},
		"hint":  &records.ImageInventory{Images: []string{"img-07", "img-09"}, SizesGB: []float64{6.2, 1}, Machines: map[string][]int{"m-000231": {1, 0}}},
		"catalog": &[]protocol.MachineType{{Name: "g8", Cores: 96, GPUs: 8, MemGB: 768, CacheGB: 200, FetchGBps: 1, Price: 12, SpotPrice: 4.5,
			BootS: 45, Zones: []string{"a", "b"}}},
		"statusRequest": &StatusRequest{Leader: term, AcknowledgedCancellations: true},
		"status": &Status{Leader: term, SinceStoreServedMS: 120, AcknowledgedCancellations: []protocol.JobID{"req-000412"}, AcknowledgedCompleteMS: 9000, RedirectedHeartbeats: 3,
			Summary: []byte{1}},
		"userCall":   &UserCall{Operation: "poll", JobID: "req-000412", Body: []byte{0x80}},
		"userAnswer": &UserAnswer{Status: 200, Body: []byte{0x80}},
	} {
		t.Run(name, func(t *testing.T) { compareWithProduction(t, productionHex[name], want) })
		delete(productionHex, name)
	}
	for name := range productionHex {
		t.Errorf("testdata/production.json holds %s, which no case of the test compares", name)
	}
}

// compareWithProduction decodes a message of the version in production and compares the
// result with the wanted value, and checks that this value is encoded to the same bytes.
func compareWithProduction(t *testing.T, encoded string, want any) {
	t.Helper()
	production, err := hex.DecodeString(encoded)
	if err != nil || len(production) == 0 {
		t.Fatalf("no bytes of the version in production: %v", err)
	}
	got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
	if err := codec.Unmarshal(production, got); err != nil {
		t.Error(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("decoded to another value (-want +got):\n%s", d)
	}
	if current, err := codec.Marshal(want); err != nil || !bytes.Equal(current, production) {
		t.Errorf("encoded as\n%x, in production as\n%x", current, production)
	}
}

// The version in production ignores the fields that this version adds to records: the IDs
// of a job's dependencies, and the time when a job was closed. The structures in the test
// are those of the version in production.
func TestReadByProduction(t *testing.T) {
	open, _ := codec.Marshal(records.OpenJob{Job: protocol.Job{ID: "req-000001", Tasks: 3, DependsOn: []protocol.JobID{"req-000002"}}, AcceptedMS: 7})
	var job struct {
		Job struct {
			ID    string `msgpack:"ref"`
			Tasks int    `msgpack:"pieces"`
		} `msgpack:"j"`
		AtMS      int64 `msgpack:"a"`
		Cancelled bool  `msgpack:"c,omitempty"`
	}
	if err := codec.Unmarshal(open, &job); err != nil || job.Job.ID != "req-000001" || job.Job.Tasks != 3 || job.AtMS != 7 {
		t.Errorf("the structure in production reads the open record as %+v, %v", job, err)
	}
	closed, _ := codec.Marshal(records.FinalRecord{Phase: protocol.PhaseDone, TasksDone: 3, ClosedMS: 9})
	var final struct {
		Phase string `msgpack:"p"`
		Tasks int    `msgpack:"n"`
	}
	if err := codec.Unmarshal(closed, &final); err != nil || final.Phase != string(protocol.PhaseDone) || final.Tasks != 3 {
		t.Errorf("the structure in production reads the final record as %+v, %v", final, err)
	}
}
