package http1

import (
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxBodyBytes bounds a body: the limit of the service's protocol.
const maxBodyBytes = 64 << 10

// hasBody reports whether a head announces a body. A response without that may still have one, up to the end.
func hasBody(fields map[string]string) bool {
	_, hasLength := fields[fieldContentLength]
	_, hasCoding := fields[fieldTransferEncoding]
	return hasLength || hasCoding
}

// readBody reads a body that a head announces. A head that could be understood in two ways is an error: whoever forwarded
// the message may have understood it in the other.
func (r *Reader) readBody(fields map[string]string) ([]byte, error) {
	length, hasLength := fields[fieldContentLength]
	coding, hasCoding := fields[fieldTransferEncoding]
	if hasLength && hasCoding {
		return nil, invalidMessage(statusBadRequest, "both a length and a transfer coding")
	}
	if hasCoding {
		if !strings.EqualFold(coding, "chunked") {
			return nil, invalidMessage(statusNotImplemented, "transfer coding %.20q", coding)
		}
		return r.readChunks()
	}
	n, err := parseLength(length, 10)
	if err != nil {
		return nil, err
	}
	if r.end-r.start >= n && n > 0 { // received completely: no copy
		r.start += n
		return r.buffer[r.start-n : r.start : r.start], nil
	}
	return r.appendBody(nil, n)
}

// parseLength parses the length of a body or chunk. It accepts digits only.
func parseLength(text string, base int) (int, error) {
	const bits = 62 // fits an int on every machine that runs this
	n, err := strconv.ParseUint(text, base, bits)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, invalidMessage(statusBadRequest, "length %.20q", text)
	}
	if n > maxBodyBytes {
		return 0, bodyTooLarge()
	}
	return int(n), nil
}

func bodyTooLarge() error {
	return invalidMessage(statusContentTooLarge, "body over %d bytes", maxBodyBytes)
}

// appendBody appends the next n bytes to body, whose memory grows with what is received.
func (r *Reader) appendBody(body []byte, n int) ([]byte, error) {
	for n > 0 {
		if r.start == r.end {
			if err := r.fill(); err != nil {
				return nil, unexpectedEOF(err)
			}
		}
		received := r.buffer[r.start:r.end]
		received = received[:min(n, len(received))]
		n -= len(received)
		r.start += len(received)
		if len(body)+len(received) > maxBodyBytes {
			return nil, bodyTooLarge()
		}
		body = append(body, received...)
	}
	return body, nil
}

// readToEnd reads a body that the end of the stream ends.
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
		if body, err = r.appendBody(body, r.end-r.start); err != nil {
			return nil, err
		}
	}
}

// readChunks reads a body in chunks. It is copied from the start: reading on behind a chunk may move what the buffer
// holds, or overwrite it.
func (r *Reader) readChunks() ([]byte, error) {
	body := []byte{}
	for {
		r.headBytesLeft = maxHeadBytes
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := parseLength(strings.TrimRight(size, " \t"), 16)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return body, r.skipTrailers()
		}
		if body, err = r.appendBody(body, n); err != nil {
			return nil, err
		}
		line, err = r.readLine()
		if err != nil {
			return nil, err
		}
		if line != "" {
			return nil, invalidMessage(statusBadRequest, "a chunk longer than it says")
		}
	}
}

// skipTrailers reads trailers. They mean nothing here, and leave the fields of the head as they are.
func (r *Reader) skipTrailers() error {
	fields := r.fields
	r.fields = nil
	_, err := r.readFields()
	r.fields = fields
	return err
}
