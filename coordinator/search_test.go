package coordinator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
)

// Searches get complete answers over one client connection and one connection per host, also if requests arrive in
// pieces; Connection: close ends the client's connection after the answer.
func TestSearchesAreAnswered(t *testing.T) {
	r := start(t, 256, nil)
	c := r.connect()
	c.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _, _, keep := c.readAnswer()
	require.Equal(t, 200, status)
	require.True(t, keep)
	c.expect("q1", "all", 200, completeAnswer)
	c.expect("q2", "all", 200, completeAnswer) // the connection stays
	for _, hostID := range []string{"a0", "a1", "b0", "b1"} {
		parts, _, conns, _ := r.replicas[hostID].Observed()
		require.LessOrEqual(t, conns, 1, "connections to hosts are reused")
		for _, p := range parts {
			require.Equal(t, r.replicas[hostID].Cell, p.Shard%2)
			require.Equal(t, "what", p.Text)
			require.Regexp(t, `^d=[1-9][0-9]{3}$`, p.List)
		}
	}
	for i := range 30 { // a request that arrives in two pieces is one request
		text := request(fmt.Sprint("s", i), "all", "", fourParts)
		c.send(text[:i*9]).send(text[i*9:])
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 200, status)
	}
	c.send(request("last", "all", "Connection: close\r\n", fourParts))
	_, _, _, keep = c.readAnswer()
	require.False(t, keep)
	_, err := c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	r.shutDown()
}

// The second step goes to the shards with the highest scores, the lower shard first among equals, and names the shards
// completed in the first. Scores may be negative, or larger than 64 bits.
func TestSecondStep(t *testing.T) {
	r := start(t, 256, nil)
	scores := []string{"5", "18446744073709551616", "-3", "5"}
	for _, s := range r.replicas {
		s.SetHandler(func(a receivedRequest) {
			if strings.HasSuffix(a.ID, ".r") {
				a.ReplyGood()
				return
			}
			a.Reply("good", scores[a.Shard], "first")
		})
	}
	r.connect().expect("q", "deep", 200, `{"total":true,"answers":[{"range":1,"blob":"what@1!"},{"range":0,"blob":"what@0!"}]}`)
	var second []string
	for _, s := range r.replicas {
		parts, _, _, _ := s.Observed()
		for _, p := range parts {
			if strings.HasSuffix(p.ID, ".r") {
				_, rest, _ := strings.Cut(p.List, ",")
				second = append(second, p.ID+" "+rest)
			}
		}
	}
	slices.Sort(second)
	require.Equal(t, []string{"q.0.r from=0+1+2+3,whole=1", "q.1.r from=0+1+2+3,whole=1"}, second)
	r.shutDown()
}

// A search with the name of an open one is refused with status 409; the name is free again after the answer. Replicas
// could not tell the attempts of the two apart.
func TestDuplicateSearchNames(t *testing.T) {
	r := start(t, 256, nil)
	gate := make(chan struct{})
	for _, s := range r.replicas {
		s.SetHandler(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
	}
	c := r.connect().send(request("same", "all", "", fourParts))
	r.eventually("the hosts have all shard requests", func() bool { return r.parts() == 4 })
	d := r.connect()
	d.expect("same", "all", 409, "")
	require.Equal(t, 4, r.parts())
	close(gate)
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	d.expect("same", "all", 200, completeAnswer)
	r.shutDown()
}

// An answer to an attempt that was given up is dropped, and the connection stays in use. Guards against taking it for a
// malformed answer, which would end the connection.
func TestLateAnswer(t *testing.T) {
	r := start(t, 256, nil)
	held, gate := make(chan receivedRequest, 1), make(chan struct{})
	for _, s := range r.replicas {
		s.SetHandler(func(a receivedRequest) {
			switch {
			case a.Shard == 3 && strings.HasPrefix(a.ID, "q1"):
				held <- a
			case strings.HasPrefix(a.ID, "q1"):
				go func() { <-gate; a.ReplyGood() }()
			default:
				a.ReplyGood()
			}
		})
	}
	c := r.connect().send(request("q1", "some", "", fourParts))
	a := <-held
	// A host may have a frame before the writer here has marked it as written.
	r.eventually("all frames are marked as written", func() bool {
		written := make(chan int, 1)
		r.loop.submit(func() {
			n := 0
			for _, shardReq := range r.loop.searches.shardRequests {
				if len(shardReq.attempts) > 0 && shardReq.attempts[0].batch.message.stage.Load() == stageWritten {
					n++
				}
			}
			written <- n
		})
		return <-written == 4
	})
	close(gate)
	status, _, _, _ := c.readAnswer()
	require.Equal(t, 200, status)
	a.ReplyGood()
	a.Reply("good", "1", "second answer")
	c.expect("q2", "all", 200, completeAnswer)
	for _, s := range r.replicas {
		_, _, conns, _ := s.Observed()
		require.LessOrEqual(t, conns, 1)
	}
	require.NotContains(t, r.log.String(), "bad_frame")
	r.shutDown()
}

// randomRequest returns the text of a search named searchName and its predicate as it stands in JSON: some are longer
// than the buffers, some have characters to be escaped in the answer, and some requests are in chunks.
func randomRequest(random *rand.Rand, searchName string, i int) (predicate, text string) {
	predicate = searchName + strings.Repeat("/"+searchName, random.Intn(40)*random.Intn(40))
	if i%7 == 0 {
		predicate += `\"\u00fc`
	}
	body := strings.Replace(fourParts, `"what"`, `"`+predicate+`"`, 1)
	text = request(searchName, "all", "", body)
	if i%3 != 0 {
		return predicate, text
	}
	at := random.Intn(len(body)) + 1
	text = strings.Replace(request(searchName, "all", "", ""), "Content-Length: 0\r\n\r\n", fmt.Sprintf(
		"Transfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%s\r\n", at, body[:at]), 1)
	if at < len(body) {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body)-at, body[at:])
	}
	return predicate, text + "0\r\nT: 1\r\n\r\n"
}

// Every answer has the values of its own request, whatever other requests are open, given up, refused or sent in pieces.
// Guards against reused buffers that show another search's bytes, and against clients that leave or pipeline and harm
// the others.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	const clients, each = 16, 60
	r := start(t, 256, nil)
	var g sync.WaitGroup
	var answered atomic.Int32
	faults := make(chan string, clients*each)
	for k := range clients {
		random := rand.New(rand.NewSource(int64(k)))
		g.Go(func() {
			c := r.connect()
			for i := range each {
				searchName := fmt.Sprintf("c%d-%d", k, i)
				predicate, text := randomRequest(random, searchName, i)
				switch random.Intn(8) {
				case 0: // leaves
					c.Write([]byte(text))
					c.Close()
					c = r.connect()
					continue
				case 1: // pipelines
					c.Write([]byte(text + text))
					c.Close()
					c = r.connect()
					continue
				case 2: // is refused
					c.Write([]byte(strings.Replace(text, "X-Tenant: acme", "X-Tenant: nobody", 1)))
					if status, _, got, _, err := c.rd.ReadResponse(); err != nil || status != 400 || string(got) != "{}" {
						faults <- fmt.Sprint(searchName, " refused: ", status, err)
						return
					}
				}
				for cut := random.Intn(len(text)); text != ""; cut = len(text) {
					c.Write([]byte(text[:cut]))
					text = text[cut:]
				}
				var got struct {
					Answers []struct{ Blob string }
				}
				status, _, answer, _, err := c.rd.ReadResponse()
				if err == nil && status == 200 {
					err = json.Unmarshal(answer, &got)
				}
				var want string
				require.NoError(t, json.Unmarshal([]byte(`"`+predicate+`"`), &want))
				if err == nil && status == 503 { // shed, on a busy machine
					continue
				}
				if err != nil || status != 200 || len(got.Answers) != 4 {
					faults <- fmt.Sprintf("%s: %d %v %.200s", searchName, status, err, answer)
					return
				}
				for shard, one := range got.Answers {
					if one.Blob != fmt.Sprintf("%s@%d", want, shard) {
						faults <- fmt.Sprintf("%s got %.200s", searchName, one.Blob)
						return
					}
				}
				answered.Add(1)
			}
		})
	}
	g.Wait()
	close(faults)
	for text := range faults {
		t.Error(text)
	}
	require.Positive(t, answered.Load())
	r.shutDown()
}

// The end of each search is reported once, with its class and its number of attempts, also when its client leaves.
func TestSearchEndNotifications(t *testing.T) {
	r := start(t, 256, nil)
	ends := make(chan SearchEnd, 4)
	r.loop.submit(func() { r.loop.OnSearchEnd = func(e SearchEnd) { ends <- e } })
	r.connect().expect("s1", "all", 200, completeAnswer)
	e := <-ends
	require.Equal(t, [3]int{1, OutcomeAnswered, 4}, [3]int{e.Type, e.Outcome, e.Attempts})
	require.Positive(t, e.Duration)
	for _, h := range r.replicas {
		h.SetHandler(func(fake.ShardRequest) {})
	}
	c := r.connect().send(request("s2", "all", "", fourParts))
	r.eventually("the hosts have the second search's shard requests", func() bool { return r.parts() >= 8 })
	c.Close()
	e = <-ends
	require.Equal(t, OutcomeClientGone, e.Outcome)
	require.NotEqual(t, OutcomeResidencyRefused, e.Outcome)
	require.GreaterOrEqual(t, e.Attempts, 4)
	r.shutDown()
	require.Empty(t, ends)
}

// Once searches are answered, the event loop keeps none of their shard requests and timers, though their clients would
// wait for a minute. Guards against memory that grows with the request rate times the client timeout.
func TestEndedSearchesHoldNothing(t *testing.T) {
	r := start(t, 256, nil)
	c := r.connect()
	held := func() (queued, balancerTimers, shardRequests, searches, conns int) {
		done := make(chan struct{})
		require.True(t, r.loop.submit(func() {
			loop := r.loop
			queued, balancerTimers, shardRequests, searches, conns = loop.timers.queue.Len(), len(loop.timers.balancer), len(loop.searches.shardRequests), len(loop.searches.byID), loop.descriptors.replicaConnections
			close(done)
		}))
		<-done
		return
	}
	for i := range 300 {
		c.send(strings.Replace(request(fmt.Sprint("h", i), "all", "", fourParts), "8.000", "60.000", 1))
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 200, status)
	}
	r.eventually("nothing of ended searches is held", func() bool {
		queued, balancerTimers, shardRequests, searches, conns := held()
		return balancerTimers <= 1 && shardRequests == 0 && searches == 0 && queued <= balancerTimers+2*conns // idle checks of connections
	})
	r.shutDown()
}

// The memory of open searches and unwritten answers is bounded: beyond the limit, a search is shed at once with a
// Retry-After; once the answers are written, searches are served again. Guards against long answers that end the process.
func TestShedsWithoutMemory(t *testing.T) {
	r := start(t, 256, nil)
	long := strings.Repeat("v", 20_000)
	held := make(chan receivedRequest, 1)
	for _, s := range r.replicas {
		s.SetHandler(func(a receivedRequest) {
			switch {
			case !strings.HasPrefix(a.ID, "first"):
				a.ReplyGood()
			case a.Shard == 3:
				held <- a
			default:
				a.Reply("good", "1", long)
			}
		})
	}
	heldBytes := func() (bytes int64) {
		done := make(chan struct{})
		require.True(t, r.loop.submit(func() {
			r.loop.searches.memoryLimit = 50_000
			bytes = r.loop.searches.heldBytes + r.loop.searches.unsentBytes.Load()
			close(done)
		}))
		<-done
		return bytes
	}
	first := r.connect().send(request("first", "all", "", fourParts))
	a := <-held
	r.eventually("values are held", func() bool { return heldBytes() > 50_000 })
	status, head, _, _ := r.connect().send(request("second", "all", "", fourParts)).readAnswer()
	require.Equal(t, 503, status)
	require.NotEmpty(t, head["retry-after"])
	a.ReplyGood()
	status, _, text, _ := first.readAnswer()
	require.Equal(t, 200, status)
	require.Equal(t, 3, strings.Count(text, long))
	r.eventually("all is released", func() bool { return heldBytes() == 0 })
	r.connect().expect("third", "all", 200, completeAnswer)
	r.shutDown()
}

// Two coordinators in one process have classes of the same names with different effects, positions and tenants. Each
// handles its searches by its own settings, also when clients use both at the same time. Guards against state shared in
// the process, and against a header that a request lacks being taken over from the request before it.
func TestCoordinatorsOfOneProcessShareNoState(t *testing.T) {
	serve := func(order []string, effects map[string]string, tenant string) *rig {
		r := start(t, 256, func(settings map[string]any) {
			for i, name := range order {
				settingAt(settings, "Classes", i)["Name"], settingAt(settings, "Classes", i)["Effect"] = name, effects[name]
			}
			settingAt(settings, "Tenants", 0)["Name"] = tenant
			specifics := settings["Specifics"].(map[string]any)
			specifics["NeedByClass"], specifics["ClassFloor"], specifics["FollowUp"] = []any{1, 1, 1}, []any{1, 1, 1}, []any{0, 0, 0}
		})
		var mu sync.Mutex
		seen := map[string]bool{}
		for _, h := range r.replicas {
			h.SetHandler(func(p receivedRequest) { // the first attempt of each search at shard 0 fails, and may have run
				mu.Lock()
				first := p.Shard == 0 && !seen[p.ID]
				seen[p.ID] = true
				mu.Unlock()
				if first {
					p.Reply("bad", "-", "")
					return
				}
				p.ReplyGood()
			})
		}
		return r
	}
	one := serve([]string{"some", "all", "deep"}, map[string]string{"some": "fragile", "all": "retryable", "deep": "retryable"}, "acme")
	two := serve([]string{"deep", "all", "some"}, map[string]string{"deep": "fragile", "all": "dedup", "some": "retryable"}, "globex")
	for _, rounds := range []int{1, 12} { // the first round opens the connections before many requests arrive at once
		var clients sync.WaitGroup
		for n := range rounds {
			var callers []*testClient
			for _, r := range []*rig{one, two} {
				callers = append(callers, r.connect())
			}
			clients.Go(func() {
				for i := range 12 {
					for at, c := range callers {
						class, tenant := []string{"some", "all", "deep"}[i%3], []string{"acme", "globex"}[at]
						want := [2]map[string]int{{"some": 500, "all": 200, "deep": 200}, {"deep": 500, "all": 500, "some": 200}}[at][class]
						text := strings.Replace(request(fmt.Sprint("r", rounds, "c", n, "i", i), class, "", fourParts), "X-Tenant: acme", "X-Tenant: "+tenant, 1)
						c.Write([]byte(text))
						status, _, body, _, err := c.rd.ReadResponse()
						if err != nil || status != want {
							t.Errorf("coordinator %d, %s: got status %d %s %v, want %d", at, class, status, body, err, want)
						}
						if other := "X-Tenant: " + []string{"globex", "acme"}[at]; i%4 == 0 {
							for _, field := range []string{other, "X-Other: x"} {
								c.Write([]byte(strings.Replace(text, "X-Tenant: "+tenant, field, 1)))
								if status, _, _, _, err := c.rd.ReadResponse(); err != nil || status != 400 {
									t.Errorf("coordinator %d, %s: got status %d %v, want 400", at, field, status, err)
								}
							}
						}
					}
				}
			})
		}
		clients.Wait()
	}
	require.Greater(t, one.parts(), 0)
	one.shutDown()
	two.shutDown()
}
