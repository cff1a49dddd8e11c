package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"marblehaven/internal/tuning"
)

// DecodeJob decodes a submission and returns an error for every malformed one: a body that is
// not a map, a required field that is missing or null, and any value of a wrong type or out
// of range. It reads the map field by field, because decoding into a generic map would trust
// lengths claimed in the body, and decoding into a struct would accept mistyped fields.
func DecodeJob(body []byte) (*Job, error) {
	r := newJobReader(body)
	if err := r.readAll(); err != nil {
		return nil, err
	}
	job := r.job()
	if err := job.check(); err != nil {
		return nil, err
	}
	return job, nil
}

// fieldKind says which values a field of a submission may have. Only fields of the kinds from
// optionalTypes on may be missing or null.
type fieldKind int

const (
	requiredText fieldKind = iota
	requiredCount
	requiredAmount
	requiredBool
	optionalTypes
	optionalIDs
	optionalText
	optionalAmount
)

// required reports whether a field of this kind must be present and not null.
func (k fieldKind) required() bool { return k < optionalTypes }

// jobFields gives the kind of each field of a submission. Other fields are ignored.
var jobFields = map[string]fieldKind{
	"ref": requiredText, "workload": requiredText, "owner": requiredText, "shape": requiredText,
	"rank": requiredText, "pieces": requiredCount, "cores": requiredAmount, "cards": requiredAmount,
	"memGb": requiredAmount, "bundle": requiredText, "imageGb": requiredAmount, "flavors": optionalTypes,
	"quarry": optionalText, "samePlace": requiredBool, "spread": requiredBool, "loaners": requiredBool,
	"guessS": requiredAmount, "snapshotS": requiredAmount, "flushS": requiredAmount, "dueS": optionalAmount,
	"awaits": optionalIDs,
}

// jobReader holds the decoded fields of a submission, by their type and spelling.
type jobReader struct {
	d       *msgpack.Decoder
	texts   map[string]string
	amounts map[string]float64
	bools   map[string]bool
	lists   map[string][]string
	tasks   int
	seen    map[string]bool
}

func newJobReader(body []byte) *jobReader {
	return &jobReader{d: msgpack.NewDecoder(bytes.NewReader(body)), texts: map[string]string{}, amounts: map[string]float64{},
		bools: map[string]bool{}, lists: map[string][]string{}, seen: map[string]bool{}}
}

// readAll reads the whole body and checks that no required field is missing.
func (r *jobReader) readAll() error {
	c, err := r.d.PeekCode()
	if err != nil || !(msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32) {
		return errors.New("not a map")
	}
	n, err := r.d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		if err := r.readField(); err != nil {
			return err
		}
	}
	if _, err := r.d.PeekCode(); err != io.EOF {
		return errors.New("trailing bytes")
	}
	for key, kind := range jobFields {
		if kind.required() && !r.seen[key] {
			return fmt.Errorf("field %s is missing", key)
		}
	}
	return nil
}

// readField reads a key and its value. It skips unknown fields.
func (r *jobReader) readField() error {
	c, err := r.d.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsString(c) {
		return errors.New("key is not text")
	}
	key, err := r.d.DecodeString()
	if err != nil {
		return err
	}
	kind, known := jobFields[key]
	if !known {
		return r.d.Skip()
	}
	if r.seen[key] {
		return fmt.Errorf("field %s occurs twice", key)
	}
	if c, err = r.d.PeekCode(); err != nil {
		return err
	}
	if c == msgpcode.Nil {
		if kind.required() {
			return fmt.Errorf("field %s is null", key)
		}
		return r.d.DecodeNil()
	}
	r.seen[key] = true
	ok, err := r.readValue(key, kind, c)
	if err != nil {
		return err
	}
	if !ok {
		return fmt.Errorf("field %s is invalid", key)
	}
	return nil
}

// readValue reads a value that begins with the MessagePack code c. It returns false if a field of
// this kind may not have the value.
func (r *jobReader) readValue(key string, kind fieldKind, c byte) (ok bool, err error) {
	isInt := msgpcode.IsFixedNum(c) || (c >= msgpcode.Uint8 && c <= msgpcode.Int64)
	switch kind {
	case requiredText, optionalText:
		if !msgpcode.IsString(c) {
			return false, nil
		}
		s, err := r.d.DecodeString()
		r.texts[key] = s
		return s != "" && len(s) <= tuning.MaxName, err
	case requiredCount:
		if !isInt {
			return false, nil
		}
		v, err := r.d.DecodeInt64()
		r.tasks = int(v)
		return v >= 1 && v <= tuning.MaxTasks, err
	case requiredAmount, optionalAmount:
		if !isInt && c != msgpcode.Float && c != msgpcode.Double {
			return false, nil
		}
		v, err := r.d.DecodeFloat64()
		r.amounts[key] = v
		return v >= 0 && !math.IsInf(v, 0), err // false for NaN as well
	case requiredBool:
		if c != msgpcode.True && c != msgpcode.False {
			return false, nil
		}
		r.bools[key], err = r.d.DecodeBool()
		return true, err
	}
	list, ok, err := decodeStrings(r.d, c)
	r.lists[key] = list
	return ok && (kind != optionalTypes || len(list) > 0), err
}

// job returns the job that the fields describe.
func (r *jobReader) job() *Job {
	return &Job{
		ID: JobID(r.texts["ref"]), Class: r.texts["workload"], Team: r.texts["owner"], Kind: JobKind(r.texts["shape"]), Priority: Priority(r.texts["rank"]),
		Tasks: r.tasks, Cores: r.amounts["cores"], GPUs: r.amounts["cards"], MemGB: r.amounts["memGb"],
		Image: r.texts["bundle"], ImageGB: r.amounts["imageGb"], MachineTypes: r.lists["flavors"], Zone: r.texts["quarry"],
		OneZone: r.bools["samePlace"], Spread: r.bools["spread"], Spot: r.bools["loaners"],
		EstimateS: r.amounts["guessS"], CheckpointIntervalS: r.amounts["snapshotS"], CheckpointSaveS: r.amounts["flushS"],
		DeadlineS: r.amounts["dueS"], DependsOn: jobIDs(r.lists["awaits"]),
	}
}

// check returns an error for values of the right type that no job can have.
func (j *Job) check() error {
	switch {
	case !ValidJobID(j.ID):
		return errors.New("field ref is malformed")
	case !slices.Contains([]JobKind{KindArray, KindGang, KindService}, j.Kind):
		return errors.New("unknown shape")
	case j.Priority.Level() < 0:
		return errors.New("unknown rank")
	}
	return j.checkDependencies()
}

// checkDependencies checks the IDs of the jobs that the job depends on, and removes repeated
// ones.
func (j *Job) checkDependencies() error {
	for _, jobID := range j.DependsOn {
		switch {
		case !ValidJobID(jobID):
			return errors.New("field awaits names no job")
		case jobID == j.ID:
			return errors.New("field awaits names the job itself")
		}
	}
	slices.Sort(j.DependsOn)
	j.DependsOn = slices.Compact(j.DependsOn)
	if len(j.DependsOn) > tuning.DependenciesMax {
		return fmt.Errorf("field awaits names more than %d jobs", tuning.DependenciesMax)
	}
	return nil
}

// decodeStrings reads a list of names. It returns false if the value is not a list, or if a name
// is empty or too long.
func decodeStrings(d *msgpack.Decoder, c byte) (list []string, ok bool, err error) {
	if !(msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32) {
		return nil, false, nil
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, false, err
	}
	for range n {
		c, err := d.PeekCode()
		if err != nil || !msgpcode.IsString(c) {
			return nil, false, err
		}
		s, err := d.DecodeString()
		if err != nil || s == "" || len(s) > tuning.MaxName {
			return nil, false, err
		}
		list = append(list, s)
	}
	return list, true, nil
}

// jobIDs converts names to job IDs.
func jobIDs(names []string) []JobID {
	if names == nil {
		return nil
	}
	ids := make([]JobID, len(names))
	for i, name := range names {
		ids[i] = JobID(name)
	}
	return ids
}
