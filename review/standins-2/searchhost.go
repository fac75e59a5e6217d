package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// searchHost is a replica that speaks the OpenSearch-style API. answer returns the bytes that it writes for one request.
type searchHost struct {
	id, addr string
	ln       net.Listener

	answer func(shard, body string, conn net.Conn) []byte
}

func newSearchHost(id string, answer func(shard, body string, conn net.Conn) []byte) *searchHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	h := &searchHost{id: id, addr: listener.Addr().String(), ln: listener, answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h
}

func (h *searchHost) serve(conn net.Conn) {
	defer conn.Close()
	source := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(source)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		shard := strings.TrimPrefix(request.URL.Query().Get("preference"), "_shards:")
		if _, err := conn.Write(h.answer(shard, string(body), conn)); err != nil {
			return
		}
	}
}

// httpOK returns a whole response with a JSON body.
func httpOK(body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// oneHit is a host's good answer to a part: the one member that has the tag asked for.
func oneHit(shard, tag string) string {
	id := fmt.Sprintf("%s-in-%s", tag, shard)
	return fmt.Sprintf(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":1,"relation":"eq"},`+
		`"max_score":1.0,"hits":[{"_index":"members","_id":%q,"_score":1.0,"_source":{"tag":%q},"sort":[1.0,%q]}]}}`, id, tag, id)
}

// tagOf returns the tag that a query asks for.
func tagOf(body string) string {
	_, rest, _ := strings.Cut(body, `"tag-`)
	tag, _, _ := strings.Cut(rest, `"`)
	return "tag-" + tag
}
