package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one search of a client and what came of it.
type request struct {
	id, class, tenant, text string
	shards                  []int
	deadline                time.Duration // the client waits so long, from sent
	sent                    time.Time     // when the last byte was written
	answered                time.Time     // when the last byte of the answer was read; zero for none
	left                    time.Time     // when the client closed its connection with no answer; zero for never
	leaveAfter              time.Duration // the client closes its connection so long after sent; 0 for never
	leftOnPurpose           bool
	status                  int
	total                   bool
	answers                 map[int]string
	err                     error
}

var requestNumber atomic.Int64

// newRequest returns a search with a new id.
func newRequest(class, tenant string, deadline time.Duration, shards []int) *request {
	n := requestNumber.Add(1)
	return &request{
		id: fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15), class: class, tenant: tenant, text: fmt.Sprintf("text-%d", n),
		shards: shards, deadline: deadline,
	}
}

// encode returns the bytes of the request, with equal portions.
func (r *request) encode() string {
	ranges, left := []string{}, 1_000_000
	for i, shard := range r.shards {
		portion := left / (len(r.shards) - i)
		left -= portion
		ranges = append(ranges, fmt.Sprintf(`{"range":%d,"portion":%d.%06d}`, shard, portion/1_000_000, portion%1_000_000))
	}
	body := fmt.Sprintf(`{"ranges":[%s],"predicate":%q}`, strings.Join(ranges, ","), r.text)
	return fmt.Sprintf("POST /%s?k=%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		r.class, r.id, r.id, r.class, r.tenant, r.deadline.Seconds(), len(body), body)
}

// do sends a request on a connection of its own and waits for the answer, until patience after its time is over.
func (r *request) do(rec *record, addr string, patience time.Duration) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return
	}
	defer conn.Close()
	r.doOn(rec, conn, bufio.NewReader(conn), patience)
}

// doOn is do on a connection that is open.
func (r *request) doOn(rec *record, conn net.Conn, src *bufio.Reader, patience time.Duration) {
	if _, r.err = io.WriteString(conn, r.encode()); r.err != nil {
		return
	}
	r.sent = time.Now()
	rec.noteAt(r.sent, "client sent %s class %s shards %v time %.3f", r.id, r.class, r.shards, r.deadline.Seconds())
	conn.SetReadDeadline(r.sent.Add(r.deadline + patience))
	if r.leaveAfter > 0 {
		conn.SetReadDeadline(r.sent.Add(r.leaveAfter))
		r.leftOnPurpose = true
	}
	response, err := http.ReadResponse(src, nil)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			r.answered, r.status = time.Now(), response.StatusCode
			r.read(body)
		}
	}
	r.err = err
	if err != nil {
		conn.Close()
		r.left = time.Now()
	}
	rec.note("client of %s got status %d total %t answers %d err %v, %+.3f s after its time", r.id, r.status, r.total, len(r.answers), err,
		time.Since(r.sent).Seconds()-r.deadline.Seconds())
}

func (r *request) read(body []byte) {
	var object struct {
		Total   bool `json:"total"`
		Answers []struct {
			Range int    `json:"range"`
			Blob  string `json:"blob"`
		} `json:"answers"`
	}
	if json.Unmarshal(body, &object) != nil {
		return
	}
	r.total, r.answers = object.Total, map[int]string{}
	for _, a := range object.Answers {
		r.answers[a.Range] = a.Blob
	}
}
