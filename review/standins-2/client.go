package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has received; status 0 is none.
type answer struct {
	status int
	body   string
	err    error
	closed bool // the answer says that the connection is closed
}

// query is a search in the platform's own form.
type query struct {
	id, class string
	ranges    []int
	deadline  time.Duration
	predicate string
	tenant    string
}

func (q query) encode() string {
	var all []string
	for _, x := range q.ranges {
		all = append(all, fmt.Sprintf(`{"range":%d,"portion":%.6f}`, x, 1/float64(len(q.ranges))))
	}
	body := fmt.Sprintf(`{"ranges":[%s],"predicate":%q}`, strings.Join(all, ","), q.predicate)
	tenant := ""
	if q.tenant != "" {
		tenant = "X-Tenant: " + q.tenant + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		q.class, q.id, q.class, q.deadline.Seconds(), tenant, len(body), body)
}

func dial(addr string) net.Conn {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil
	}
	return conn
}

// exchange writes a request and reads one answer.
func exchange(conn net.Conn, source *bufio.Reader, request string, wait time.Duration) answer {
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err}
	}
	return readAnswer(source)
}

func readAnswer(source *bufio.Reader) answer {
	response, err := http.ReadResponse(source, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(body), closed: response.Close}
}

// ask sends one request on a new connection.
func ask(addr, request string, wait time.Duration) answer {
	conn := dial(addr)
	if conn == nil {
		return answer{err: fmt.Errorf("no connection")}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), request, wait)
}

// post is a request of the OpenSearch-style API.
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: search.svc\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}
