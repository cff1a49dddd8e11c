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
	reader := newSubmissionReader(body)
	if err := reader.readAll(); err != nil {
		return nil, err
	}
	job := reader.job()
	if err := job.check(); err != nil {
		return nil, err
	}
	return job, nil
}

// fieldKind says which values a field of a submission may have. Only fields of the kinds from
// optionalMachineTypes on may be missing or null.
type fieldKind int

const (
	requiredText fieldKind = iota
	requiredCount
	requiredAmount
	requiredBool
	optionalMachineTypes
	optionalJobIDs
	optionalText
	optionalAmount
)

// required reports whether a field of this kind must be present and not null.
func (k fieldKind) required() bool { return k < optionalMachineTypes }

// jobFields gives the kind of each field of a submission. Other fields are ignored.
var jobFields = map[string]fieldKind{
	"ref": requiredText, "workload": requiredText, "owner": requiredText, "shape": requiredText,
	"rank": requiredText, "pieces": requiredCount, "cores": requiredAmount, "cards": requiredAmount,
	"memGb": requiredAmount, "bundle": requiredText, "imageGb": requiredAmount, "flavors": optionalMachineTypes,
	"quarry": optionalText, "samePlace": requiredBool, "spread": requiredBool, "loaners": requiredBool,
	"guessS": requiredAmount, "snapshotS": requiredAmount, "flushS": requiredAmount, "dueS": optionalAmount,
	"awaits": optionalJobIDs,
}

// submissionReader decodes a submission and holds its decoded fields: one map for each type
// of value, with the field names of the protocol as keys.
type submissionReader struct {
	decoder *msgpack.Decoder
	texts   map[string]string
	amounts map[string]float64
	bools   map[string]bool
	lists   map[string][]string
	tasks   int
	seen    map[string]bool
}

func newSubmissionReader(body []byte) *submissionReader {
	return &submissionReader{
		decoder: msgpack.NewDecoder(bytes.NewReader(body)),
		texts:   map[string]string{},
		amounts: map[string]float64{},
		bools:   map[string]bool{},
		lists:   map[string][]string{},
		seen:    map[string]bool{},
	}
}

// readAll reads the whole body and checks that no required field is missing.
func (r *submissionReader) readAll() error {
	code, err := r.decoder.PeekCode()
	if err != nil || !isMap(code) {
		return errors.New("not a map")
	}
	length, err := r.decoder.DecodeMapLen()
	if err != nil {
		return err
	}
	for range length {
		if err := r.readField(); err != nil {
			return err
		}
	}
	if _, err := r.decoder.PeekCode(); err != io.EOF {
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
func (r *submissionReader) readField() error {
	key, err := r.readKey()
	if err != nil {
		return err
	}
	kind, known := jobFields[key]
	if !known {
		return r.decoder.Skip()
	}
	if r.seen[key] {
		return fmt.Errorf("field %s occurs twice", key)
	}
	code, err := r.decoder.PeekCode()
	if err != nil {
		return err
	}
	if code == msgpcode.Nil {
		if kind.required() {
			return fmt.Errorf("field %s is null", key)
		}
		return r.decoder.DecodeNil()
	}
	r.seen[key] = true
	valid, err := r.readValue(key, kind, code)
	if err != nil {
		return err
	}
	if !valid {
		return fmt.Errorf("field %s is invalid", key)
	}
	return nil
}

// readKey reads the key of a field.
func (r *submissionReader) readKey() (string, error) {
	code, err := r.decoder.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsString(code) {
		return "", errors.New("key is not text")
	}
	return r.decoder.DecodeString()
}

// readValue reads a value that begins with the given MessagePack code. It returns false if a
// field of this kind may not have the value.
func (r *submissionReader) readValue(key string, kind fieldKind, code byte) (valid bool, err error) {
	switch kind {
	case requiredText, optionalText:
		return r.readText(key, code)
	case requiredCount:
		return r.readTaskCount(code)
	case requiredAmount, optionalAmount:
		return r.readAmount(key, code)
	case requiredBool:
		return r.readBool(key, code)
	}
	list, valid, err := decodeStrings(r.decoder, code)
	r.lists[key] = list
	return valid && (kind != optionalMachineTypes || len(list) > 0), err
}

// readText reads a name that is neither empty nor too long.
func (r *submissionReader) readText(key string, code byte) (valid bool, err error) {
	if !msgpcode.IsString(code) {
		return false, nil
	}
	text, err := r.decoder.DecodeString()
	r.texts[key] = text
	return text != "" && len(text) <= tuning.MaxName, err
}

// readTaskCount reads the number of tasks, the only count in a submission.
func (r *submissionReader) readTaskCount(code byte) (valid bool, err error) {
	if !isInteger(code) {
		return false, nil
	}
	count, err := r.decoder.DecodeInt64()
	r.tasks = int(count)
	return count >= 1 && count <= tuning.MaxTasks, err
}

// readAmount reads a number that is finite and not negative.
func (r *submissionReader) readAmount(key string, code byte) (valid bool, err error) {
	if !isInteger(code) && code != msgpcode.Float && code != msgpcode.Double {
		return false, nil
	}
	amount, err := r.decoder.DecodeFloat64()
	r.amounts[key] = amount
	return amount >= 0 && !math.IsInf(amount, 0), err // false for NaN as well
}

// readBool reads a boolean.
func (r *submissionReader) readBool(key string, code byte) (valid bool, err error) {
	if code != msgpcode.True && code != msgpcode.False {
		return false, nil
	}
	r.bools[key], err = r.decoder.DecodeBool()
	return true, err
}

// job returns the job that the fields describe.
func (r *submissionReader) job() *Job {
	return &Job{
		ID:                  JobID(r.texts["ref"]),
		Class:               r.texts["workload"],
		Team:                r.texts["owner"],
		Kind:                JobKind(r.texts["shape"]),
		Priority:            Priority(r.texts["rank"]),
		Tasks:               r.tasks,
		Cores:               r.amounts["cores"],
		GPUs:                r.amounts["cards"],
		MemGB:               r.amounts["memGb"],
		Image:               r.texts["bundle"],
		ImageGB:             r.amounts["imageGb"],
		MachineTypes:        r.lists["flavors"],
		Zone:                r.texts["quarry"],
		OneZone:             r.bools["samePlace"],
		Spread:              r.bools["spread"],
		Spot:                r.bools["loaners"],
		EstimateS:           r.amounts["guessS"],
		CheckpointIntervalS: r.amounts["snapshotS"],
		CheckpointSaveS:     r.amounts["flushS"],
		DeadlineS:           r.amounts["dueS"],
		DependsOn:           jobIDs(r.lists["awaits"]),
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
func decodeStrings(decoder *msgpack.Decoder, code byte) (list []string, valid bool, err error) {
	if !isArray(code) {
		return nil, false, nil
	}
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, false, err
	}
	for range length {
		code, err := decoder.PeekCode()
		if err != nil || !msgpcode.IsString(code) {
			return nil, false, err
		}
		name, err := decoder.DecodeString()
		if err != nil || name == "" || len(name) > tuning.MaxName {
			return nil, false, err
		}
		list = append(list, name)
	}
	return list, true, nil
}

// isMap reports whether a MessagePack code begins a map.
func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// isArray reports whether a MessagePack code begins an array.
func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

// isInteger reports whether a MessagePack code begins an integer.
func isInteger(code byte) bool {
	return msgpcode.IsFixedNum(code) || (code >= msgpcode.Uint8 && code <= msgpcode.Int64)
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
