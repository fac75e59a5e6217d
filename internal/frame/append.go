package frame

import (
	"encoding/binary"
	"strconv"
)

// Begin appends the header of a frame to dst. The caller then appends the payload and calls End.
func Begin(dst []byte, frameType byte) []byte { return append(dst, 0, 0, 0, 0, frameType) }

// End completes the frame that begins at index start and extends to the end of dst: it sets the length in the header.
func End(dst []byte, start int) []byte {
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-lengthBytes))
	return dst
}

// AppendShardRequest appends a shard request to a TypeBatch frame, between Begin and End: a line of id, shard,
// attributes and the length of the text, then the text. attributes must not contain blanks.
func AppendShardRequest(dst []byte, id string, shard int, attributes, text []byte) []byte {
	dst = append(dst, id...)
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, int64(shard), 10)
	dst = append(dst, ' ')
	dst = append(dst, attributes...)
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, int64(len(text)), 10)
	dst = append(dst, '\n')
	return append(dst, text...)
}

// AppendCancel appends a complete TypeCancel frame for the shard request with this id.
func AppendCancel(dst []byte, id string) []byte {
	start := len(dst)
	dst = Begin(dst, TypeCancel)
	dst = append(dst, id...)
	return End(dst, start)
}
