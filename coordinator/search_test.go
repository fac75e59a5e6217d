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
		require.LessOrEqual(t, conns, 1, "connections are used again")
		for _, p := range parts {
			require.Equal(t, r.replicas[hostID].Cell, p.Shard%2)
			require.Equal(t, "what", p.Text)
			require.Regexp(t, `^d=[1-9][0-9]{3}$`, p.List)
		}
	}
	for i := range 30 { // a request split at any byte is one request
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

// A second step goes to the shards with the highest scores, the lower among equals, and names the completed ones.
func TestSecondStep(t *testing.T) {
	r := start(t, 256, nil)
	scores := []string{"5", "18446744073709551616", "-3", "5"}
	for _, s := range r.replicas {
		s.SetHandler(func(a asked) {
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

// A search with the name of an open one is refused; the name is free again after the answer.
func TestDuplicateSearchNames(t *testing.T) {
	r := start(t, 256, nil)
	gate := make(chan struct{})
	for _, s := range r.replicas {
		s.SetHandler(func(a asked) { go func() { <-gate; a.ReplyGood() }() })
	}
	c := r.connect().send(request("same", "all", "", fourParts))
	r.eventually("parts are out", func() bool { return r.parts() == 4 })
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

// An answer to an attempt that was given up is dropped, and the connection stays in use.
func TestLateAnswer(t *testing.T) {
	r := start(t, 256, nil)
	held, gate := make(chan asked, 1), make(chan struct{})
	for _, s := range r.replicas {
		s.SetHandler(func(a asked) {
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
	// A host may have a frame before its writer here has noted that it is out.
	r.eventually("all frames are noted as written", func() bool {
		out := make(chan int, 1)
		r.loop.submit(func() {
			done := 0
			for _, shardReq := range r.loop.searches.shardRequests {
				if len(shardReq.attempts) > 0 && shardReq.attempts[0].batch.message.stage.Load() == stageWritten {
					done++
				}
			}
			out <- done
		})
		return <-out == 4
	})
	close(gate)
	status, _, _, _ := c.readAnswer()
	require.Equal(t, 200, status)
	a.ReplyGood()
	a.Reply("good", "1", "unknown part")
	c.expect("q2", "all", 200, completeAnswer)
	for _, s := range r.replicas {
		_, _, conns, _ := s.Observed()
		require.LessOrEqual(t, conns, 1)
	}
	require.NotContains(t, r.log.String(), "bad_frame")
	r.shutDown()
}

// randomRequest returns the text of a search named searchName and what it asks for: some are longer than the buffers, some
// have to be escaped again, and some come in chunks.
func randomRequest(chance *rand.Rand, searchName string, i int) (what, text string) {
	what = searchName + strings.Repeat("/"+searchName, chance.Intn(40)*chance.Intn(40))
	if i%7 == 0 {
		what += `\"\u00fc`
	}
	body := strings.Replace(fourParts, `"what"`, `"`+what+`"`, 1)
	text = request(searchName, "all", "", body)
	if i%3 != 0 {
		return what, text
	}
	at := chance.Intn(len(body)) + 1
	text = strings.Replace(request(searchName, "all", "", ""), "Content-Length: 0\r\n\r\n", fmt.Sprintf(
		"Transfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%s\r\n", at, body[:at]), 1)
	if at < len(body) {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body)-at, body[at:])
	}
	return what, text + "0\r\nT: 1\r\n\r\n"
}

// Every answer has the values of its own request, whatever else is open, given up, refused or in pieces: reused
// buffers never show another's. A client that leaves or pipelines costs the others nothing.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	const clients, each = 16, 60
	r := start(t, 256, nil)
	var g sync.WaitGroup
	var sound atomic.Int32
	faults := make(chan string, clients*each)
	for k := range clients {
		chance := rand.New(rand.NewSource(int64(k)))
		g.Go(func() {
			c := r.connect()
			for i := range each {
				searchName := fmt.Sprintf("c%d-%d", k, i)
				what, text := randomRequest(chance, searchName, i)
				switch chance.Intn(8) {
				case 0: // leaves
					c.Write([]byte(text))
					c.Close()
					c = r.connect()
					continue
				case 1: // sends ahead
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
				for cut := chance.Intn(len(text)); text != ""; cut = len(text) {
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
				require.NoError(t, json.Unmarshal([]byte(`"`+what+`"`), &want))
				if err == nil && status == 503 { // a machine that is busy enough
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
				sound.Add(1)
			}
		})
	}
	g.Wait()
	close(faults)
	for text := range faults {
		t.Error(text)
	}
	require.Positive(t, sound.Load())
	r.shutDown()
}

// Each search's end is reported once, with its class and its attempts, also where its client leaves.
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
	r.eventually("parts of the second search", func() bool { return r.parts() >= 8 })
	c.Close()
	e = <-ends
	require.Equal(t, OutcomeClientGone, e.Outcome)
	require.NotEqual(t, OutcomeResidencyRefused, e.Outcome)
	require.GreaterOrEqual(t, e.Attempts, 4)
	r.shutDown()
	require.Empty(t, ends)
}

// Memory does not follow rate times client timeout: once clients that wait a minute have their answers, the event loop
// holds no shard request, no timer of a search and no value.
func TestEndedSearchesHoldNothing(t *testing.T) {
	r := start(t, 256, nil)
	c := r.connect()
	held := func() (wakes, timers, parts, searches, lines int) {
		told := make(chan struct{})
		require.True(t, r.loop.submit(func() {
			loop := r.loop
			wakes, timers, parts, searches, lines = loop.timers.queue.Len(), len(loop.timers.balancer), len(loop.searches.shardRequests), len(loop.searches.byID), loop.descriptors.replicaConnections
			close(told)
		}))
		<-told
		return
	}
	for i := range 300 {
		c.send(strings.Replace(request(fmt.Sprint("h", i), "all", "", fourParts), "8.000", "60.000", 1))
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 200, status)
	}
	r.eventually("nothing of ended searches is held", func() bool {
		wakes, timers, parts, searches, lines := held()
		return timers <= 1 && parts == 0 && searches == 0 && wakes <= timers+2*lines // idle looks of connections
	})
	r.shutDown()
}

// What open searches and untaken answers hold is bounded: without memory a search is shed at once with a Retry-After,
// and there is memory again once answers are written.
func TestShedsWithoutMemory(t *testing.T) {
	r := start(t, 256, nil)
	long := strings.Repeat("v", 20_000)
	held := make(chan asked, 1)
	for _, s := range r.replicas {
		s.SetHandler(func(a asked) {
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
	look := func() (bytes int64) {
		told := make(chan struct{})
		require.True(t, r.loop.submit(func() {
			r.loop.searches.memoryLimit = 50_000
			bytes = r.loop.searches.heldBytes + r.loop.searches.unsentBytes.Load()
			close(told)
		}))
		<-told
		return bytes
	}
	first := r.connect().send(request("first", "all", "", fourParts))
	a := <-held
	r.eventually("values are held", func() bool { return look() > 50_000 })
	status, head, _, _ := r.connect().send(request("second", "all", "", fourParts)).readAnswer()
	require.Equal(t, 503, status)
	require.NotEmpty(t, head["retry-after"])
	a.ReplyGood()
	status, _, text, _ := first.readAnswer()
	require.Equal(t, 200, status)
	require.Equal(t, 3, strings.Count(text, long))
	r.eventually("all is released", func() bool { return look() == 0 })
	r.connect().expect("third", "all", 200, completeAnswer)
	r.shutDown()
}

// Two coordinators of one process whose settings give classes of one name other effects, positions and tenants handle
// each search under their own, also when clients use both at once. A header that a request lacks is not the one
// before's.
func TestCoordinatorsOfOneProcessShareNoState(t *testing.T) {
	serve := func(order []string, effects map[string]string, tenant string) *rig {
		r := start(t, 256, func(settings map[string]any) {
			for i, name := range order {
				settingAt(settings, "Classes", i)["Name"], settingAt(settings, "Classes", i)["Effect"] = name, effects[name]
			}
			settingAt(settings, "Tenants", 0)["Name"] = tenant
			all := settings["Specifics"].(map[string]any)
			all["NeedByClass"], all["ClassFloor"], all["FollowUp"] = []any{1, 1, 1}, []any{1, 1, 1}, []any{0, 0, 0}
		})
		var mu sync.Mutex
		met := map[string]bool{}
		for _, h := range r.replicas {
			h.SetHandler(func(p asked) { // the first attempt of each search at shard 0 may have run
				mu.Lock()
				first := p.Shard == 0 && !met[p.ID]
				met[p.ID] = true
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
	for _, rounds := range []int{1, 12} { // connections are up before many come at once
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
							t.Errorf("co-ordinator %d, %s: %d %s %v, want %d", at, class, status, body, err, want)
						}
						if other := "X-Tenant: " + []string{"globex", "acme"}[at]; i%4 == 0 {
							for _, field := range []string{other, "X-Other: x"} {
								c.Write([]byte(strings.Replace(text, "X-Tenant: "+tenant, field, 1)))
								if status, _, _, _, err := c.rd.ReadResponse(); err != nil || status != 400 {
									t.Errorf("co-ordinator %d, %s: %d %v", at, field, status, err)
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
