package protocol

import (
	"bytes"
	"maps"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

func validSubmission() map[string]any {
	return map[string]any{"ref": "req-000412", "workload": "train", "owner": "vision", "shape": "group", "rank": "high",
		"pieces": 16, "cores": 8.0, "cards": 1, "memGb": 64.0, "bundle": "img-07", "imageGb": 6.2, "flavors": []string{"g8"},
		"quarry": nil, "samePlace": true, "spread": false, "loaners": true, "guessS": 240.0, "snapshotS": 30.0,
		"flushS": 4.0, "dueS": 900.0}
}

func encode(t testing.TB, v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecodeJob(t *testing.T) {
	want := &Job{ID: "req-000412", Class: "train", Team: "vision", Kind: KindGang, Priority: PriorityHigh, Tasks: 16, Cores: 8, GPUs: 1,
		MemGB: 64, Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, OneZone: true, Spot: true, EstimateS: 240,
		CheckpointIntervalS: 30, CheckpointSaveS: 4, DeadlineS: 900}
	m := validSubmission()
	m["unheardOf"] = map[string]any{"deep": []any{1, nil, "x"}}
	got, err := DecodeJob(encode(t, m))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("decoded to another job (-want +got):\n%s", d)
	}
	for _, key := range []string{"flavors", "quarry", "dueS"} {
		m := validSubmission()
		delete(m, key)
		if _, err := DecodeJob(encode(t, m)); err != nil {
			t.Errorf("a submission without the optional field %s is refused: %v", key, err)
		}
	}
}

func TestDecodeJobRefuses(t *testing.T) {
	withField := func(key string, v any) []byte {
		m := validSubmission()
		m[key] = v
		return encode(t, m)
	}
	cases := map[string][]byte{
		"empty":               nil,
		"not MessagePack":     {0xc1},
		"a list":              encode(t, []int{1}),
		"trailing bytes":      append(encode(t, validSubmission()), 0),
		"cut short":           encode(t, validSubmission())[:40],
		"number as key":       {0x81, 0x01, 0x02},
		"list length a lie":   append(bytes.TrimSuffix(withField("flavors", nil), []byte{0xc0}), 0xdd, 0xff, 0xff, 0xff, 0xff),
		"pieces not whole":    withField("pieces", 16.0),
		"pieces zero":         withField("pieces", 0),
		"pieces too many":     withField("pieces", 100001),
		"pieces huge":         withField("pieces", uint64(math.MaxUint64)),
		"cores negative":      withField("cores", -1.0),
		"cores NaN":           withField("cores", math.NaN()),
		"memGb infinite":      withField("memGb", math.Inf(1)),
		"cards text":          withField("cards", "1"),
		"loaners number":      withField("loaners", 1),
		"flavors text":        withField("flavors", "g8"),
		"flavors of numbers":  withField("flavors", []int{1}),
		"quarry number":       withField("quarry", 1),
		"dueS negative":       withField("dueS", -1),
		"unknown shape":       withField("shape", "array"),
		"unknown rank":        withField("rank", "urgent"),
		"ref without prefix":  withField("ref", "000412"),
		"ref with a slash":    withField("ref", "req-1/2"),
		"ref without number":  withField("ref", "req-"),
		"ref with letters":    withField("ref", "req-12a"),
		"owner null":          withField("owner", nil),
		"bundle empty":        withField("bundle", ""),
		"field occurs twice":  append(append([]byte{0xde, 0, 21}, encode(t, validSubmission())[3:]...), append(encode(t, "pieces"), 1)...),
		"bundle far too long": withField("bundle", string(make([]byte, 1000))),
	}
	for key := range validSubmission() {
		if key != "flavors" && key != "quarry" && key != "dueS" {
			m := maps.Clone(validSubmission())
			delete(m, key)
			cases["without "+key] = encode(t, m)
		}
	}
	for name, body := range cases {
		if job, err := DecodeJob(body); err == nil {
			t.Errorf("%s: accepted as %+v", name, job)
		}
	}
}

func FuzzDecodeJob(f *testing.F) {
	f.Add(encode(f, validSubmission()))
	f.Add([]byte{0x81, 0xa3, 'r', 'e', 'f', 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := DecodeJob(body)
		if err != nil {
			return
		}
		if !ValidJobID(job.ID) || job.Tasks < 1 || !(job.Cores >= 0) || !(job.MemGB >= 0) || !(job.EstimateS >= 0) || job.Team == "" {
			t.Errorf("a job out of range is accepted: %+v", job)
		}
	})
}
