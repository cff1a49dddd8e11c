package codec

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds how deep values may be nested when they are measured.
const maxDepth = 32

// EncodeSized encodes a value, unless it is encoded already, and returns its size as
// JSONSize does.
func EncodeSized(value any) (raw msgpack.RawMessage, size int, err error) {
	raw, encoded := value.(msgpack.RawMessage)
	if !encoded {
		if raw, err = Marshal(value); err != nil {
			return nil, 0, err
		}
	}
	size, err = JSONSize(raw)
	return raw, size, err
}

// JSONSize returns how many bytes a MessagePack value takes as JSON, the form in
// which PROTOCOL measures sizes. Where JSON leaves a choice it returns the longer
// form, so that it never says too little.
func JSONSize(raw []byte) (int, error) {
	d := msgpack.NewDecoder(bytes.NewReader(raw))
	size, err := jsonSize(d, 0)
	if err != nil {
		return 0, err
	}
	if _, err := d.PeekCode(); err != io.EOF {
		return 0, errors.New("trailing bytes")
	}
	return size, nil
}

func jsonSize(d *msgpack.Decoder, depth int) (int, error) {
	if depth > maxDepth {
		return 0, errors.New("nested too deep")
	}
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case code == msgpcode.Nil:
		return len("null"), d.DecodeNil()
	case code == msgpcode.True, code == msgpcode.False:
		_, err := d.DecodeBool()
		return len("false"), err
	case msgpcode.IsString(code):
		s, err := d.DecodeString()
		return jsonStringSize(s), err
	case msgpcode.IsBin(code):
		b, err := d.DecodeBytes()
		return (len(b)+2)/3*4 + len(`""`), err
	case code == msgpcode.Float, code == msgpcode.Double:
		f, err := d.DecodeFloat64()
		return len(strconv.FormatFloat(f, 'g', -1, 64)) + len(".0"), err
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		n, err := d.DecodeArrayLen()
		if err != nil {
			return 0, err
		}
		return jsonElements(d, n, depth)
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := d.DecodeMapLen()
		if err != nil {
			return 0, err
		}
		return jsonElements(d, 2*n, depth)
	case code == msgpcode.Uint64:
		n, err := d.DecodeUint64()
		return len(strconv.FormatUint(n, 10)), err
	}
	n, err := d.DecodeInt64()
	return len(strconv.FormatInt(n, 10)), err
}

// jsonElements measures the elements of a list, or the keys and values of a map:
// each is followed by a comma, a colon or the closing bracket.
func jsonElements(d *msgpack.Decoder, n, depth int) (int, error) {
	size := len("[]")
	for range n {
		element, err := jsonSize(d, depth+1)
		if err != nil {
			return 0, err
		}
		size += element + len(",")
	}
	return size, nil
}

func jsonStringSize(s string) int {
	const escaped = len(`\u0000`)
	size := len(`""`)
	for _, r := range s {
		switch {
		case r < ' ', r == '"', r == '\\', r == '<', r == '>', r == '&', r == utf8.RuneError:
			size += escaped
		case r >= utf8.RuneSelf:
			size += 2 * escaped
		default:
			size++
		}
	}
	return size
}
