// Package codec encodes values as MessagePack and measures their size as JSON, the form in
// which the protocol counts sizes.
//
// It owns how strictly a message is decoded. It must never accept a message of which a
// part is left over, nor measure a value as smaller than the receiver does.
package codec

import (
	"bytes"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes exactly one value; trailing bytes are an error. After an error the
// value may have been changed.
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
