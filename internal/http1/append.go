package http1

import (
	"fmt"
	"strconv"
)

// reasons are the reason phrases of the status codes that the service sends.
var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 451: "Unavailable For Legal Reasons", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// AppendResponse appends a response with a JSON body. extraField is an additional header line without its line
// break; if it is empty, none is added.
func AppendResponse(dst []byte, status int, extraField string, body []byte, keepAlive bool) []byte {
	dst = AppendResponseHead(dst, status, extraField, len(body), keepAlive)
	return append(dst, body...)
}

// AppendResponseHead appends the head of a response. The caller then appends a JSON body of contentLength bytes.
// extraField is the same as for AppendResponse.
func AppendResponseHead(dst []byte, status int, extraField string, contentLength int, keepAlive bool) []byte {
	dst = append(dst, version11+" "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[status]...)
	dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(contentLength), 10)
	dst = append(dst, "\r\n"...)
	if extraField != "" {
		dst = append(dst, extraField...)
		dst = append(dst, "\r\n"...)
	}
	if !keepAlive {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// AppendGetRequest appends a GET request for target at host.
func AppendGetRequest(dst []byte, target, host string) []byte {
	return fmt.Appendf(dst, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, host)
}
