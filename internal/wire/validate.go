package wire

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

var (
	errTruncated       = errors.New("message cut short")
	errTooDeep         = errors.New("message nested too deeply")
	errUnsupportedType = errors.New("binary data and extensions are not part of the protocol")
	errTrailing        = errors.New("data after the message")
)

// maxDepth is the deepest nesting of lists and maps in a message.
const maxDepth = 16

// validate checks a message's structure without allocating. The decoder allocates as many entries
// as a header announces, so five bytes that announce 2^32 entries would exhaust the memory.
func validate(b []byte) error {
	rest, err := skipValue(b, 0)
	if err == nil && len(rest) > 0 {
		err = errTrailing
	}
	return err
}

// skipValue returns the bytes after the first value in b.
func skipValue(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 {
		return nil, errTruncated
	}
	if depth > maxDepth {
		return nil, errTooDeep
	}
	c := b[0]
	b = b[1:]
	fixed := func(n int) ([]byte, error) {
		if n > len(b) {
			return nil, errTruncated
		}
		return b[n:], nil
	}
	// length reads a length of size bytes and advances b past it.
	length := func(size int) (int, error) {
		if size > len(b) {
			return 0, errTruncated
		}
		var buf [8]byte
		copy(buf[8-size:], b[:size])
		b = b[size:]
		return int(binary.BigEndian.Uint64(buf[:])), nil
	}
	values := func(n int) ([]byte, error) {
		if n > len(b) {
			return nil, errTruncated // every value takes at least one byte
		}
		var err error
		for ; n > 0 && err == nil; n-- {
			b, err = skipValue(b, depth+1)
		}
		return b, err
	}
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return b, nil
	case msgpcode.IsFixedString(c):
		return fixed(int(c & msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(c):
		return values(int(c & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedMap(c):
		return values(2 * int(c&msgpcode.FixedMapMask))
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return fixed(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return fixed(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return fixed(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return fixed(8)
	}
	size := 0
	switch c {
	case msgpcode.Str8:
		size = 1
	case msgpcode.Str16, msgpcode.Array16, msgpcode.Map16:
		size = 2
	case msgpcode.Str32, msgpcode.Array32, msgpcode.Map32:
		size = 4
	default:
		return nil, errUnsupportedType
	}
	n, err := length(size)
	if err != nil {
		return nil, err
	}
	switch c {
	case msgpcode.Str8, msgpcode.Str16, msgpcode.Str32:
		return fixed(n)
	case msgpcode.Array16, msgpcode.Array32:
		return values(n)
	}
	return values(2 * n)
}
