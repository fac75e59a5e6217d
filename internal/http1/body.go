package http1

import (
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxBodyBytes is the longest body that the service's protocol allows.
const maxBodyBytes = 64 << 10

// chunkLineEnds is the length of the two line ends of a chunk.
const chunkLineEnds = 4

// hasBody reports whether the header fields announce a body. A response that announces none may still have one, which
// lasts until the end of the stream.
func hasBody(fields map[string]string) bool {
	_, hasLength := fields[fieldContentLength]
	_, hasCoding := fields[fieldTransferEncoding]
	return hasLength || hasCoding
}

// readBody reads a body that the header fields announce. Ambiguous framing is an error: a proxy that forwarded the
// message may have understood it in another way, which allows request smuggling.
func (r *Reader) readBody(fields map[string]string) ([]byte, error) {
	length, hasLength := fields[fieldContentLength]
	coding, hasCoding := fields[fieldTransferEncoding]
	if hasLength && hasCoding {
		return nil, invalidMessage(statusBadRequest, "message has both Content-Length and Transfer-Encoding, expected one of them")
	}
	if hasCoding {
		if !strings.EqualFold(coding, "chunked") {
			return nil, invalidMessage(statusNotImplemented, "transfer coding %.20q is not supported, expected chunked", coding)
		}
		return r.readChunks()
	}
	n, err := r.parseLength(length, 10)
	if err != nil {
		return nil, err
	}
	if r.end-r.start >= n && n > 0 { // the buffer holds the whole body: return it without a copy
		r.start += n
		return r.buffer[r.start-n : r.start : r.start], nil
	}
	return r.appendBody(nil, n, n)
}

// parseLength parses the length of a body or chunk. It accepts digits only.
func (r *Reader) parseLength(text string, base int) (int, error) {
	const bits = 62 // fits an int on every platform that the program runs on
	n, err := strconv.ParseUint(text, base, bits)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, invalidMessage(statusBadRequest, "invalid length %.20q, expected digits only", text)
	}
	if n > uint64(r.bodyLimit) {
		return 0, r.bodyTooLarge()
	}
	return int(n), nil
}

func (r *Reader) bodyTooLarge() error {
	return invalidMessage(statusContentTooLarge, "body over %d bytes", r.bodyLimit)
}

// appendBody appends the next n bytes of the stream to body, to which toCome bytes at most will be appended in all. Memory
// is allocated as bytes arrive, not for all bytes in advance.
func (r *Reader) appendBody(body []byte, n, toCome int) ([]byte, error) {
	begin := len(body)
	for n > 0 {
		if r.start == r.end && r.accounted != nil && n >= minBufferBytes {
			before := len(body)
			var err error
			if body, err = r.readInto(body, n, toCome-(len(body)-begin)); err != nil {
				return nil, unexpectedEOF(err)
			}
			n -= len(body) - before
			continue
		}
		if r.start == r.end {
			if err := r.fill(); err != nil {
				return nil, unexpectedEOF(err)
			}
		}
		received := r.buffer[r.start:r.end]
		received = received[:min(n, len(received))]
		if len(body)+len(received) > r.bodyLimit {
			return nil, r.bodyTooLarge()
		}
		var err error
		if body, err = r.growBody(body, len(received), toCome-(len(body)-begin)); err != nil {
			return nil, err
		}
		body = append(body, received...)
		n -= len(received)
		r.start += len(received)
	}
	return body, nil
}

// readToEnd reads a body that lasts until the end of the stream.
func (r *Reader) readToEnd() (body []byte, err error) {
	for {
		if r.start == r.end {
			err := r.fill()
			if errors.Is(err, io.EOF) {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
		}
		if body, err = r.appendBody(body, r.end-r.start, r.bodyLimit-len(body)); err != nil {
			return nil, err
		}
	}
}

// readChunks reads a chunked body. Every chunk is copied, because reading beyond a chunk may move or overwrite the
// contents of the buffer. The size lines and line ends together may be as long as the longest body, so that single bytes of
// data cannot cost many times their number.
func (r *Reader) readChunks() ([]byte, error) {
	body := []byte{}
	for framingBytesLeft := r.bodyLimit; ; {
		r.headBytesLeft = maxHeadBytes
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if framingBytesLeft -= len(line) + chunkLineEnds; framingBytesLeft < 0 {
			return nil, invalidMessage(statusContentTooLarge, "chunked body with size lines of over %d bytes", r.bodyLimit)
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := r.parseLength(strings.TrimRight(size, " \t"), 16)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return body, r.skipTrailers()
		}
		if body, err = r.appendBody(body, n, r.bodyLimit-len(body)); err != nil {
			return nil, err
		}
		line, err = r.readLine()
		if err != nil {
			return nil, err
		}
		if line != "" {
			return nil, invalidMessage(statusBadRequest, "chunk data is longer than the stated chunk size")
		}
	}
}

// skipTrailers reads trailers and ignores them. The header fields stay unchanged.
func (r *Reader) skipTrailers() error {
	fields := r.fields
	r.fields = nil
	_, err := r.readFields()
	r.fields = fields
	return err
}
