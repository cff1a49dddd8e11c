package wire

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

// Job is a job's description as its user submits it.
type Job struct {
	ID          string   `msgpack:"ref"`
	Class       string   `msgpack:"workload"`
	Team        string   `msgpack:"owner"`
	Shape       string   `msgpack:"shape"`
	Rank        string   `msgpack:"rank"`
	Tasks       int      `msgpack:"pieces"`
	Cores       float64  `msgpack:"cores"`
	Cards       float64  `msgpack:"cards"`
	MemGB       float64  `msgpack:"memGb"`
	Image       string   `msgpack:"bundle"`
	ImageGB     float64  `msgpack:"imageGb"`
	Types       []string `msgpack:"flavors"`
	Zone        string   `msgpack:"quarry"`
	OneZone     bool     `msgpack:"samePlace"`
	Spread      bool     `msgpack:"spread"`
	Spot        bool     `msgpack:"loaners"`
	EstimateS   float64  `msgpack:"guessS"`
	CheckpointS float64  `msgpack:"snapshotS"`
	SaveS       float64  `msgpack:"flushS"`
	DeadlineS   float64  `msgpack:"dueS"` // 0: none
	// Awaits names the jobs that must be done before any task of this one starts.
	Awaits []string `msgpack:"awaits,omitempty"`
}

// ValidID tells whether s has the form of a job id.
func ValidID(s string) bool {
	const prefix = "req-"
	if len(s) <= len(prefix) || len(s) > len(prefix)+20 || s[:len(prefix)] != prefix {
		return false
	}
	for _, c := range s[len(prefix):] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

const (
	needString = iota
	needCount
	needAmount
	needBool
	maybeTypes
	maybeIDs
	maybeString
	maybeAmount
)

var jobFields = map[string]int{
	"ref": needString, "workload": needString, "owner": needString, "shape": needString,
	"rank": needString, "pieces": needCount, "cores": needAmount, "cards": needAmount,
	"memGb": needAmount, "bundle": needString, "imageGb": needAmount, "flavors": maybeTypes,
	"quarry": maybeString, "samePlace": needBool, "spread": needBool, "loaners": needBool,
	"guessS": needAmount, "snapshotS": needAmount, "flushS": needAmount, "dueS": maybeAmount,
	"awaits": maybeIDs,
}

// DecodeJob reads a submission and refuses everything that PROTOCOL calls
// malformed. It walks the map by hand: a generic decode would trust lengths
// claimed in the body, and struct decoding lets mistyped fields through.
func DecodeJob(body []byte) (*Job, error) {
	d := msgpack.NewDecoder(bytes.NewReader(body))
	c, err := d.PeekCode()
	if err != nil || !(msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32) {
		return nil, errors.New("not a map")
	}
	n, err := d.DecodeMapLen()
	if err != nil {
		return nil, err
	}
	var (
		job  Job
		strs = map[string]string{}
		nums = map[string]float64{}
		seen = map[string]bool{}
	)
	bools := map[string]*bool{"samePlace": &job.OneZone, "spread": &job.Spread, "loaners": &job.Spot}
	for i := 0; i < n; i++ {
		c, err := d.PeekCode()
		if err != nil {
			return nil, err
		}
		if !msgpcode.IsString(c) {
			return nil, errors.New("key is not text")
		}
		key, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		kind, known := jobFields[key]
		if !known {
			if err := d.Skip(); err != nil {
				return nil, err
			}
			continue
		}
		if seen[key] {
			return nil, fmt.Errorf("field %s occurs twice", key)
		}
		if c, err = d.PeekCode(); err != nil {
			return nil, err
		}
		if c == msgpcode.Nil {
			if kind < maybeTypes {
				return nil, fmt.Errorf("field %s is null", key)
			}
			if err := d.DecodeNil(); err != nil {
				return nil, err
			}
			continue
		}
		seen[key] = true
		isInt := msgpcode.IsFixedNum(c) || (c >= msgpcode.Uint8 && c <= msgpcode.Int64)
		ok := false
		switch kind {
		case needString, maybeString:
			if ok = msgpcode.IsString(c); ok {
				var s string
				s, err = d.DecodeString()
				ok = s != "" && len(s) <= tuning.MaxName
				strs[key] = s
			}
		case needCount:
			if ok = isInt; ok {
				var v int64
				v, err = d.DecodeInt64()
				ok = v >= 1 && v <= tuning.MaxPieces
				job.Tasks = int(v)
			}
		case needAmount, maybeAmount:
			if ok = isInt || c == msgpcode.Float || c == msgpcode.Double; ok {
				var v float64
				v, err = d.DecodeFloat64()
				ok = v >= 0 && !math.IsInf(v, 0) // false for NaN as well
				nums[key] = v
			}
		case needBool:
			if ok = c == msgpcode.True || c == msgpcode.False; ok {
				*bools[key], err = d.DecodeBool()
			}
		case maybeTypes:
			ok, err = decodeStrings(d, c, &job.Types)
			ok = ok && len(job.Types) > 0
		case maybeIDs:
			ok, err = decodeStrings(d, c, &job.Awaits)
		}
		if err != nil {
			return nil, err
		}
		if !ok {
			return nil, fmt.Errorf("field %s is invalid", key)
		}
	}
	if _, err := d.PeekCode(); err != io.EOF {
		return nil, errors.New("trailing bytes")
	}
	for key, kind := range jobFields {
		if kind < maybeTypes && !seen[key] {
			return nil, fmt.Errorf("field %s is missing", key)
		}
	}
	job.ID, job.Class, job.Team, job.Shape = strs["ref"], strs["workload"], strs["owner"], strs["shape"]
	job.Rank, job.Image, job.Zone = strs["rank"], strs["bundle"], strs["quarry"]
	job.Cores, job.Cards, job.MemGB, job.ImageGB = nums["cores"], nums["cards"], nums["memGb"], nums["imageGb"]
	job.EstimateS, job.CheckpointS, job.SaveS, job.DeadlineS = nums["guessS"], nums["snapshotS"], nums["flushS"], nums["dueS"]
	if err := checkDependencies(&job); err != nil {
		return nil, err
	}
	switch {
	case !ValidID(job.ID):
		return nil, errors.New("field ref is malformed")
	case !slices.Contains([]string{Array, Gang, Service}, job.Shape):
		return nil, errors.New("unknown shape")
	case !slices.Contains([]string{Production, High, Standard, Idle}, job.Rank):
		return nil, errors.New("unknown rank")
	}
	return &job, nil
}

// checkDependencies checks the ids of the jobs that a job waits for, and drops
// repeated ones.
func checkDependencies(job *Job) error {
	for _, ref := range job.Awaits {
		switch {
		case !ValidID(ref):
			return errors.New("field awaits names no job")
		case ref == job.ID:
			return errors.New("field awaits names the job itself")
		}
	}
	slices.Sort(job.Awaits)
	job.Awaits = slices.Compact(job.Awaits)
	if len(job.Awaits) > tuning.DependenciesMost {
		return fmt.Errorf("field awaits names more than %d jobs", tuning.DependenciesMost)
	}
	return nil
}

// decodeStrings reads a list of names that are not empty.
func decodeStrings(d *msgpack.Decoder, c byte, into *[]string) (bool, error) {
	if !(msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32) {
		return false, nil
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return false, err
	}
	for i := 0; i < n; i++ {
		c, err := d.PeekCode()
		if err != nil || !msgpcode.IsString(c) {
			return false, err
		}
		s, err := d.DecodeString()
		if err != nil || s == "" || len(s) > tuning.MaxName {
			return false, err
		}
		*into = append(*into, s)
	}
	return true, nil
}
