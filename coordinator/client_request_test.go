package coordinator

import (
	"fmt"
	"math/rand"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
)

// Malformed and invalid requests get their error status, and no replica gets a shard request for them. After a malformed
// request the connection closes, since the start of the next one is unknown; after a well-formed one it stays open.
func TestInvalidRequests(t *testing.T) {
	r := start(t, 1024, nil)
	ok := request("id", "all", "", fourParts)
	swap := func(old, new string) string {
		require.Contains(t, ok, old)
		return strings.Replace(ok, old, new, 1)
	}
	body := func(text string) string { return request("id", "all", "", text) }
	ranges := func(text string) string { return body(`{"ranges":[` + text + `],"predicate":"p"}`) }
	for keeps, texts := range map[bool]map[string]int{false: {
		"nonsense\r\n\r\n":                            400,
		swap("POST ", "PO ST "):                       400,
		swap("HTTP/1.1", "HTTP/2.0"):                  505,
		swap("Host: x\r\n", ""):                       400,
		swap("X-Class: all", "X Class: all"):          400,
		swap("Content-Length: ", "Content-Length: x"): 400,
		swap("Content-Length: ", "Content-Length: +"): 400,
		swap("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: "):           400,
		swap("Content-Length: ", "Content-Length: 9\r\nContent-Length: "):                    400,
		swap("Content-Length: ", "Content-Length: 99999999999999999999"):                     413,
		swap("Content-Length: ", "Content-Length: 99999"):                                    413,
		swap("Host: x", "Transfer-Encoding: gzip\r\nHost: x\r\nX"):                           400,
		swap("Host: x", "Host: x\r\nX-Long: "+strings.Repeat("a", 9000)):                     431,
		"POST /all HTTP/1.1\r\nHost: x\r\n\r\n":                                              411,
		"POST /all HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":          400,
		"POST /all HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n":    400,
		"POST /all HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n":       413,
		"POST /all HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n": 501,
	}, true: { // well-formed HTTP, so the start of the next request is known
		swap("X-Class: all", "X-Class: none"):                    400,
		swap("X-Class: all", "X-Class: some"):                    400,
		swap("X-Tenant: acme", "X-Tenant: nobody"):               400,
		swap("X-Tenant: acme\r\n", ""):                           400,
		swap("X-Request-Id: id", "X-Request-Id: a b"):            400,
		swap("X-Request-Id: id\r\n", ""):                         400,
		swap("X-Deadline: 8.000\r\n", ""):                        400,
		swap("8.000", "soon"):                                    400,
		swap("8.000", "0"):                                       400,
		swap("8.000", "-1"):                                      400,
		swap("8.000", "NaN"):                                     400,
		swap("8.000", "1e3"):                                     400,
		"GET /all HTTP/1.1\r\nHost: x\r\n\r\n":                   405,
		"GET /other HTTP/1.1\r\nHost: x\r\n\r\n":                 404,
		"PUT /healthz HTTP/1.1\r\nHost: x\r\n\r\n":               405,
		body(`{"ranges":`):                                       400,
		body(`[]`):                                               400,
		body(fourParts + "}"):                                    400,
		body(`{"ranges":[{"range":0,"portion":1}]}`):             400,
		body(strings.Replace(fourParts, "what", "wh\xfft", 1)):   400,
		body(strings.Replace(fourParts, "what", `wh\ud800t`, 1)): 400,
		ranges(``):                                                     400,
		ranges(`{"range":4,"portion":1}`):                              400,
		ranges(`{"range":-1,"portion":1}`):                             400,
		ranges(`{"range":0.5,"portion":1}`):                            400,
		ranges(`{"range":0,"portion":0.5},{"range":0,"portion":1}`):    400,
		ranges(`{"range":0,"portion":-1},{"range":1,"portion":2}`):     400,
		ranges(`{"range":0,"portion":"1"}`):                            400,
		ranges(`{"range":0,"portion":1e999}`):                          400,
		ranges(`{"range":0,"portion":0.2}`):                            400,
		ranges(`{"range":0,"portion":0},{"range":1,"portion":1}`):      400,
		ranges(`{"range":0,"portion":1.5},{"range":1,"portion":-0.5}`): 400,
	}} {
		for text, status := range texts {
			c := r.connect().send(text)
			got, _, _, keep := c.readAnswer()
			require.Equal(t, status, got, "%.200q", text)
			require.Equal(t, keeps, keep, "%.200q", text)
			c.Close()
		}
	}
	for _, s := range r.replicas {
		parts, _, _, _ := s.Observed()
		require.Empty(t, parts)
	}
	chunked := strings.Replace(ok, "Content-Length: "+fmt.Sprint(len(fourParts)), "Transfer-Encoding: chunked", 1)
	chunked = strings.Replace(chunked, fourParts, fmt.Sprintf("a;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\nT: 1\r\n\r\n", fourParts[:10],
		len(fourParts)-10, fourParts[10:]), 1)
	got, _, text, _ := r.connect().send(chunked).readAnswer()
	require.Equal(t, 200, got)
	require.JSONEq(t, completeAnswer, text)
	r.shutDown()
}

// A class may be called healthz, like the path of the health check: its searches are served, and health checks are still
// answered.
func TestClassNamedAsHealth(t *testing.T) {
	r := start(t, 256, func(settings map[string]any) { settingAt(settings, "Classes", 1)["Name"] = "healthz" })
	c := r.connect()
	c.expect("a", "healthz", 200, completeAnswer)
	c.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _, _, _ := c.readAnswer()
	require.Equal(t, 200, status)
	r.shutDown()
}

// Requests name class and tenant exactly as the settings do, with blanks, commas and non-ASCII letters, and each is
// accepted and served.
func TestRequestNamesAsInSettings(t *testing.T) {
	r := start(t, 256, func(settings map[string]any) {
		settingAt(settings, "Classes", 1)["Name"] = "all, größer"
		settingAt(settings, "Tenants", 0)["Name"] = "acme north"
		settingAt(settings, "Tenants", 1)["Name"] = "acme, south"
	})
	c := r.connect()
	post := func(searchName, path, class, tenant string) {
		text := fmt.Sprintf("POST /%s?k=1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: 8\r\nContent-Length: ",
			path, searchName, class, tenant)
		body := `{"ranges":[{"range":0,"portion":0.5},{"range":1,"portion":0.5}],"predicate":"p"}`
		c.send(text + fmt.Sprint(len(body)) + "\r\n\r\n" + body)
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 200, status, "%s %s\n%s", class, tenant, r.log)
	}
	post("a", "some", "some", "acme north")
	post("b", "some", "some", "acme, south")
	post("c", "all,%20gr%C3%B6%C3%9Fer", "all, größer", "acme north")
	post("d", "some", "some", "acme_north") // the wire form of acme north
	r.shutDown()
}

// parseTarget returns the same path, key and validity as the standard library, although it parses plain targets itself.
func FuzzParseTarget(f *testing.F) {
	for _, text := range []string{
		"/a?k=7f", "/a", "/a?k=", "/a?x=1&k=2", "/a%20b?k=%41", "/a?k=1&k=2", "/a?k=a+b", "*", "", "/a?k=1#f",
		"http://x/a?k=1", "/a?k=1;x", "//x/y?k=z", "/\x7f",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, target string) {
		path, key, err := parseTarget(target)
		want, err2 := url.ParseRequestURI(target)
		require.Equal(t, err2 == nil, err == nil, "%q: %v, %v", target, err, err2)
		if err == nil {
			require.Equal(t, want.Path, path, "%q", target)
			require.Equal(t, want.Query().Get("k"), key, "%q", target)
		}
	})
}

// Guards against request smuggling on the platform's own front: a request whose body's end is ambiguous is refused and its
// connection closed, and what hides in the body never reaches a replica.
func TestHiddenRequestsAreRefused(t *testing.T) {
	r := start(t, 64, nil)
	hidden := request("hidden", "all", "", fourParts)
	for seed := range int64(40) {
		begin, body, _ := strings.Cut(request(fmt.Sprint("visible-", seed), "all", "", fourParts), "Content-Length: ")
		_, body, _ = strings.Cut(body, "\r\n\r\n")
		client := r.connect().send(fake.DrawHiddenRequest(rand.New(rand.NewSource(seed)), begin, body, hidden))
		status, _, _, keep := client.readAnswer()
		require.GreaterOrEqual(t, status, 400, "seed %d", seed)
		require.False(t, keep, "seed %d", seed)
		client.Close()
	}
	require.Zero(t, r.parts(), "shard requests of refused or hidden requests")
}
