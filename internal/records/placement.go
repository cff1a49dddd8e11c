package records

import (
	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/protocol"
)

// Placement is a task that may run on a machine, in the given incarnation of the machine's
// agent.
type Placement struct {
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation protocol.Incarnation
	// Zone is set for jobs with constraints on zones: a new leader may not have received the
	// zone of the machine yet, and must count the task in its zone.
	Zone string
}

// placementFields is the number of fields of a placement. A placement is stored as a list
// without the names of fields, since a run record holds hundreds of placements.
const placementFields = 5

// EncodeMsgpack writes the fields as a list, in the order in which they are declared.
func (p Placement) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeArrayLen(placementFields); err != nil {
		return err
	}
	if err := encoder.EncodeInt(int64(p.Task)); err != nil {
		return err
	}
	if err := encoder.EncodeUint64(p.Attempt); err != nil {
		return err
	}
	if err := encoder.EncodeString(p.Machine); err != nil {
		return err
	}
	if err := encoder.EncodeUint64(uint64(p.Incarnation)); err != nil {
		return err
	}
	return encoder.EncodeString(p.Zone)
}

// DecodeMsgpack reads the list that EncodeMsgpack writes. Missing fields are zero, and further
// fields, which a later version may add, are ignored.
func (p *Placement) DecodeMsgpack(decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	*p = Placement{}
	fields := []func() error{
		func() (err error) { p.Task, err = decoder.DecodeInt(); return err },
		func() (err error) { p.Attempt, err = decoder.DecodeUint64(); return err },
		func() (err error) { p.Machine, err = decoder.DecodeString(); return err },
		func() error {
			incarnation, err := decoder.DecodeUint64()
			p.Incarnation = protocol.Incarnation(incarnation)
			return err
		},
		func() (err error) { p.Zone, err = decoder.DecodeString(); return err },
	}
	for i := range length {
		read := decoder.Skip
		if i < len(fields) {
			read = fields[i]
		}
		if err := read(); err != nil {
			return err
		}
	}
	return nil
}
