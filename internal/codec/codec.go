// Package codec encodes values as MessagePack and measures them as JSON, the form
// in which the protocol counts sizes.
package codec

import (
	"bytes"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes exactly one value and refuses trailing bytes.
func Unmarshal(b []byte, v any) error {
	dec := msgpack.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.PeekCode(); err != io.EOF {
		return errors.New("trailing bytes")
	}
	return nil
}

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }
