// Package codec encodes values as MessagePack and measures their size as JSON, the form in
// which the protocol counts sizes.
//
// The package decides how strictly messages are decoded. It must never accept a message
// with trailing bytes, nor compute a smaller size for a value than the receiver does.
package codec

import (
	"bytes"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes exactly one value; trailing bytes are an error. After an error, value
// may have been changed in part.
func Unmarshal(encoded []byte, value any) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(encoded))
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.PeekCode(); err != io.EOF {
		return errors.New("trailing bytes")
	}
	return nil
}

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) { return msgpack.Marshal(value) }
