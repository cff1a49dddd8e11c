package records

import (
	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/protocol"
)

// Placement is a task that may be on a machine, in the given incarnation of its agent.
type Placement struct {
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation protocol.Incarnation
	// Zone is set for jobs with constraints on zones: a new leader may not know the zone
	// of the machine yet, and must count the task there.
	Zone string
}

// placementFields is the number of fields of a placement. It is stored as a list without the
// names of fields, since a run record holds hundreds of placements.
const placementFields = 5

// EncodeMsgpack writes the fields as a list, in the order in which they are declared.
func (p Placement) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(placementFields); err != nil {
		return err
	}
	if err := e.EncodeInt(int64(p.Task)); err != nil {
		return err
	}
	if err := e.EncodeUint64(p.Attempt); err != nil {
		return err
	}
	if err := e.EncodeString(p.Machine); err != nil {
		return err
	}
	if err := e.EncodeUint64(uint64(p.Incarnation)); err != nil {
		return err
	}
	return e.EncodeString(p.Zone)
}

// DecodeMsgpack reads the list that EncodeMsgpack writes. Missing fields are zero, and further
// fields, which a later version may add, are ignored.
func (p *Placement) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	*p = Placement{}
	fields := []func() error{
		func() (err error) { p.Task, err = d.DecodeInt(); return err },
		func() (err error) { p.Attempt, err = d.DecodeUint64(); return err },
		func() (err error) { p.Machine, err = d.DecodeString(); return err },
		func() error {
			incarnation, err := d.DecodeUint64()
			p.Incarnation = protocol.Incarnation(incarnation)
			return err
		},
		func() (err error) { p.Zone, err = d.DecodeString(); return err },
	}
	for i := range n {
		read := d.Skip
		if i < len(fields) {
			read = fields[i]
		}
		if err := read(); err != nil {
			return err
		}
	}
	return nil
}
