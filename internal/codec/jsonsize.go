package codec

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth limits how deep measured values may be nested, since jsonSize is recursive.
const maxDepth = 32

// EncodeSized encodes a value, unless it is a msgpack.RawMessage and so encoded already,
// and returns the encoded value with its size in bytes as JSONSize computes it.
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

// JSONSize returns how many bytes a MessagePack value takes as JSON, the form in which the
// protocol measures sizes. Where JSON allows several forms of a value, JSONSize assumes the
// longest, so that the result is never too small.
func JSONSize(raw []byte) (int, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	size, err := jsonSize(decoder, 0)
	if err != nil {
		return 0, err
	}
	if _, err := decoder.PeekCode(); err != io.EOF {
		return 0, errors.New("trailing bytes")
	}
	return size, nil
}

// jsonSize returns the size as JSON of the next value of a decoder, which is nested in
// depth other values.
func jsonSize(decoder *msgpack.Decoder, depth int) (int, error) {
	if depth > maxDepth {
		return 0, fmt.Errorf("value is nested deeper than %d levels", maxDepth)
	}
	code, err := decoder.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		length, err := decoder.DecodeArrayLen()
		if err != nil {
			return 0, err
		}
		return jsonElements(decoder, length, depth)
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		length, err := decoder.DecodeMapLen()
		if err != nil {
			return 0, err
		}
		return jsonElements(decoder, 2*length, depth)
	}
	return jsonScalarSize(decoder, code)
}

// jsonScalarSize returns the size as JSON of the next value of a decoder, which has the
// given MessagePack code and is neither a list nor a map. A code without a case is taken
// for an integer's; decoding fails if it is the code of another type.
func jsonScalarSize(decoder *msgpack.Decoder, code byte) (int, error) {
	switch {
	case code == msgpcode.Nil:
		return len("null"), decoder.DecodeNil()
	case code == msgpcode.True, code == msgpcode.False:
		_, err := decoder.DecodeBool()
		return len("false"), err
	case msgpcode.IsString(code):
		text, err := decoder.DecodeString()
		return jsonStringSize(text), err
	case msgpcode.IsBin(code):
		data, err := decoder.DecodeBytes()
		return base64Size(len(data)) + len(`""`), err
	case code == msgpcode.Float, code == msgpcode.Double:
		number, err := decoder.DecodeFloat64()
		return len(strconv.FormatFloat(number, 'g', -1, 64)) + len(".0"), err
	case code == msgpcode.Uint64:
		number, err := decoder.DecodeUint64()
		return len(strconv.FormatUint(number, 10)), err
	}
	number, err := decoder.DecodeInt64()
	return len(strconv.FormatInt(number, 10)), err
}

// base64Size returns how many characters length bytes take in padded base64.
func base64Size(length int) int { return (length + 2) / 3 * 4 }

// jsonElements returns the size as JSON of a list with count elements, or of a map whose
// keys and values are count elements together. Each element is followed by a comma, a colon
// or the closing bracket.
func jsonElements(decoder *msgpack.Decoder, count, depth int) (int, error) {
	size := len("[]")
	for range count {
		element, err := jsonSize(decoder, depth+1)
		if err != nil {
			return 0, err
		}
		size += element + len(",")
	}
	return size, nil
}

// jsonStringSize returns the size as JSON of a string in which every character is escaped
// that an encoder may escape. A character beyond ASCII may take a pair of escapes.
func jsonStringSize(text string) int {
	const escaped = len(`\u0000`)
	size := len(`""`)
	for _, r := range text {
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
