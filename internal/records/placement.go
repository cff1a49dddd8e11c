package records

import (
	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/protocol"
)

// Placement is a task that may be on a machine.
type Placement struct {
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation protocol.Incarnation
	// Zone is set where the job has conditions on zones: a new leader may not
	// know the machine's yet, and must count the task where it is.
	Zone string
}

// placementFields is the number of fields of a placement, which is stored as a list
// of them without names: run records hold hundreds.
const placementFields = 5

// EncodeMsgpack writes the fields in their order.
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

// DecodeMsgpack reads the fields in their order; missing ones are zero, and what a
// later version adds behind them is passed over.
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
