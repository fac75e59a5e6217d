package fake

import (
	"net"
	"net/http"
	"strings"

	"chalkring/internal/http1"
)

const readBufferSize = 16 << 10

// acceptEach runs a function for each connection, in a goroutine of its own, until the listener is closed.
func acceptEach(listener net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn)
		}()
	}
}

// serveRequests answers one request after another with what respond returns: a complete response, or the body of a good one. An
// empty text ends the connection.
func serveRequests(conn net.Conn, respond func(target string) string) {
	reader := http1.NewReader(conn, make([]byte, readBufferSize))
	for {
		_, target, _, _, _, err := reader.ReadRequest()
		if err != nil {
			return
		}
		text := respond(target)
		if text == "" {
			return
		}
		if !strings.HasPrefix(text, "HTTP/") {
			text = string(http1.AppendResponse(nil, http.StatusOK, "", []byte(text), true))
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}
