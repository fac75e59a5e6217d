package benchmark

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkring/internal/fake"
	"chalkring/opensearch/frontend"
	"chalkring/opensearch/query"
)

const (
	osClients  = 12                     // connections that ask one search after another
	osRounds   = 60                     // searches of each in a stretch
	osTurns    = 8                      // stretches of each pair, the pairs in turn
	osMembers  = 1600                   // over all blocks
	osMost     = 1.5                    // times the own front's CPU time that the API may cost for the same search
	osPatience = 5 * time.Second        // of the clients
	hangAfter  = 100 * time.Millisecond // from the begin of the stretch with a host that hangs
)

// pair is one kind of client with one kind of host.
type pair struct{ client, host string }

func (p pair) name() string { return p.client + "_to_" + p.host }

var pairs = []pair{{"own", "own"}, {"api", "own"}, {"own", "api"}, {"api", "api"}}

// drawSearch is a search of the lab's, with what the reference over all members says to it.
type drawnSearch struct {
	body string
	want map[string]any
}

// MeasureOpenSearch measures the API's front and hosts beside the own ones, in all four pairs, with a host of each kind that
// hangs in the last stretch: CPU time and allocations of the co-ordinator a search, answer times, and every answer
// against a reference over all members.
func MeasureOpenSearch(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 58*time.Second)
	defer stop()
	chance := rand.New(rand.NewSource(seed))
	blocks, all := drawMembers(chance)
	var searches []drawnSearch
	for range 40 {
		s := drawnSearch{body: fmt.Sprintf(`{"query":{"range":{"age":{"gte":%d}}},"size":10,"sort":[{"age":{"order":"desc"}},{"_id":{}}],`+
			`"track_total_hits":true}`, 20+chance.Intn(50))}
		text, err := all.Search([]byte(s.body))
		if err != nil {
			return Result{}, err
		}
		if err = json.Unmarshal(text, &s.want); err != nil {
			return Result{}, err
		}
		searches = append(searches, s)
	}
	out := Result{Fields: map[string]any{}}
	cpu := map[pair]float64{}
	for _, kind := range []string{"own", "api"} {
		f, hang, err := membersFleet(kind, blocks)
		if err != nil {
			return Result{}, err
		}
		err = measurePairs(ctx, seed, f, hang, kind, searches, &out, cpu)
		f.close()
		if err != nil {
			return Result{}, err
		}
	}
	ratio := cpu[pairs[1]] / cpu[pairs[0]]
	out.Fields["api_front_over_own"] = round(ratio)
	if ratio > osMost {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("the API's front costs %.2f times the own front's CPU time", ratio))
	}
	return out, ctx.Err()
}

func drawMembers(chance *rand.Rand) (blocks []*fake.ShardDocuments, all *fake.ShardDocuments) {
	all = &fake.ShardDocuments{Index: "members"}
	for range sets {
		blocks = append(blocks, &fake.ShardDocuments{Index: "members"})
	}
	for i := range osMembers {
		m := fake.Document{ID: fmt.Sprintf("m%05d", i), Fields: map[string]any{
			"age":  float64(18 + chance.Intn(60)),
			"town": []string{"oslo", "bergen", "hamar", "moss"}[chance.Intn(4)],
		}}
		b := blocks[chance.Intn(sets)]
		b.Documents, all.Documents = append(b.Documents, m), append(all.Documents, m)
	}
	return blocks, all
}

// ServeDemo serves the API on an address before stand-in hosts with members, until ctx ends.
func ServeDemo(ctx context.Context, listen string) error {
	blocks, _ := drawMembers(rand.New(rand.NewSource(1)))
	f, _, err := membersFleet("api", blocks)
	if err != nil {
		return err
	}
	defer f.close()
	front := &frontend.Server{}
	for _, qtype := range []string{fullMatch, quickPicks} {
		x := frontend.Index{Name: map[string]string{fullMatch: "members", quickPicks: "picks"}[qtype], SearchType: qtype}
		for b := range sets {
			x.Blocks = append(x.Blocks, b)
		}
		front.Indices = append(front.Indices, x)
	}
	if front.Listener, err = net.Listen("tcp", listen); err != nil {
		return err
	}
	n, err := f.start("demo", 1, 1, nil, front)
	if err != nil {
		return err
	}
	fmt.Printf("curl 'http://%s/members/_search?pretty' -d '{\"query\":{\"term\":{\"town\":\"oslo\"}},\"sort\":[\"age\"]}'\n", listen)
	<-ctx.Done()
	return n.end()
}

// membersFleet starts two hosts a block set of a kind; hang makes one of them hang.
func membersFleet(kind string, blocks []*fake.ShardDocuments) (f *fleet, hang func(), err error) {
	if kind == "own" {
		answer := func(p fake.ShardRequest) {
			text, err := blocks[p.Shard].Search([]byte(p.Text))
			if err != nil {
				p.Reply("bad", "-", "")
				return
			}
			p.Reply("good", "1", string(text))
		}
		f, err = newFleet(2*sets, func(int) func(p fake.ShardRequest) { return func(p fake.ShardRequest) { go answer(p) } })
		if err != nil {
			return nil, nil, err
		}
		return f, func() { f.hosts[0].SetHandler(func(fake.ShardRequest) {}) }, nil
	}
	f = &fleet{}
	held := map[int]*fake.ShardDocuments{}
	for i, b := range blocks {
		held[i] = b
	}
	for i := range 2 * sets {
		h, err := fake.NewSearchHost(fmt.Sprintf("s-%02d", i), i%sets, held)
		if err != nil {
			return nil, nil, err
		}
		f.search = append(f.search, h)
		f.entries = append(f.entries, fake.Endpoint{ID: h.ID, Addr: h.Listener.Addr().String(), Zone: "hall", Kind: searchKind, State: "up", Cell: h.Cell})
	}
	f.list, err = fake.NewDiscoveryServer(f.entries)
	return f, func() {
		f.search[0].SetHandler(func(_ http.ResponseWriter, r *http.Request, _ []byte) { <-r.Context().Done() })
	}, err
}

// measurePairs measures both kinds of client with one kind of host, in turn.
func measurePairs(ctx context.Context, seed int64, f *fleet, hang func(), kind string, searches []drawnSearch, out *Result,
	cpu map[pair]float64,
) error {
	p, err := f.launch(ctx, seed)
	if err != nil {
		return err
	}
	type sums struct {
		cpu, allocs, took           []float64
		count, lost, doubled, wrong int
	}
	got := map[pair]*sums{{"own", kind}: {}, {"api", kind}: {}}
	for turn := range osTurns + 2 { // the first warms up, the last has a host that hangs
		if turn == osTurns+1 {
			time.AfterFunc(hangAfter, hang)
		}
		for _, client := range []string{"own", "api"} {
			s := got[pair{client, kind}]
			before, allocs := p.cpu(), p.mallocs()
			results := ask(ctx, p, client, fmt.Sprintf("%s%s%d", client, kind, turn), searches)
			used, made := p.cpu()-before, p.mallocs()-allocs
			for _, r := range results {
				s.count++
				switch r {
				case lost:
					s.lost++
				case doubled:
					s.doubled++
				case wrong:
					s.wrong++
				default:
					s.took = append(s.took, float64(r)/float64(time.Millisecond))
				}
			}
			if n := float64(len(results)); turn > 0 && turn <= osTurns {
				s.cpu, s.allocs = append(s.cpu, used/n), append(s.allocs, made/n)
			}
		}
	}
	for who, s := range got {
		cpu[who] = mean(s.cpu)
		slices.Sort(s.took)
		at := func(q float64) float64 { return round(s.took[min(len(s.took)-1, int(q*float64(len(s.took))))]) }
		fields := map[string]any{
			"searches": s.count, "cpu_us": round(1e6 * mean(s.cpu)), "allocs": round(mean(s.allocs)),
			"lost": s.lost, "doubled": s.doubled, "wrong": s.wrong,
		}
		if len(s.took) > 0 {
			fields["p50_ms"], fields["p99_ms"] = at(0.5), at(0.99)
		}
		out.Fields[who.name()] = fields
		if s.lost+s.doubled+s.wrong > 0 {
			out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%s: %d lost, %d doubled, %d wrong", who.name(), s.lost, s.doubled, s.wrong))
		}
	}
	return p.end()
}

// What came of a search in place of its time.
const (
	lost    = -1 * time.Duration(iota+1) // no whole answer
	doubled                              // bytes behind its answer
	wrong                                // not what the reference says
)

// ask has clients of a kind ask one search after another and looks at each answer.
func ask(ctx context.Context, p *process, client, name string, searches []drawnSearch) []time.Duration {
	var g sync.WaitGroup
	var mu sync.Mutex
	var all []time.Duration
	for c := range osClients {
		g.Go(func() {
			addr := p.addr
			if client == "api" {
				addr = p.front
			}
			var conn net.Conn
			var src *bufio.Reader
			for i := range osRounds {
				if ctx.Err() != nil {
					return
				}
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", addr); err != nil {
						return
					}
					src = bufio.NewReader(conn)
				}
				s := searches[(c*osRounds+i)%len(searches)]
				began := time.Now()
				conn.SetDeadline(began.Add(osPatience + time.Second))
				status, body, err := exchange(conn, src, client, fmt.Sprintf("%s-%d-%d", name, c, i), s.body)
				r := time.Since(began)
				switch {
				case err != nil || status != 200:
					r = lost
				case src.Buffered() > 0:
					r = doubled
				case !same(client, s, body):
					r = wrong
				}
				if r < 0 {
					conn.Close()
					conn = nil
				}
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	g.Wait()
	return all
}

// exchange sends one search in the client's form and reads its answer.
func exchange(conn net.Conn, src *bufio.Reader, client, id, body string) (int, []byte, error) {
	text := fmt.Sprintf("POST /members/_search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nX-Opaque-Id: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
	if client == "own" {
		var parts []string
		for b := range sets {
			parts = append(parts, fmt.Sprintf(`{"range":%d,"portion":%g}`, b, 1.0/sets))
		}
		predicate, _ := json.Marshal(body)
		own := fmt.Sprintf(`{"ranges":[%s],"predicate":%s}`, strings.Join(parts, ","), predicate)
		text = fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
			fullMatch, id, fullMatch, osPatience.Seconds(), len(own), own)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return 0, nil, err
	}
	res, err := http.ReadResponse(src, nil)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return res.StatusCode, got, err
}

// same tells whether an answer is what the reference says. Own clients put the hosts' answers together themselves.
func same(client string, s drawnSearch, body []byte) bool {
	if client == "own" {
		var m struct {
			Total   bool
			Answers []struct {
				Range int
				Blob  string
			}
		}
		q, err := query.ParseRequest([]byte(s.body))
		if json.Unmarshal(body, &m) != nil || err != nil || !m.Total {
			return false
		}
		var o query.SearchOutcome
		for _, a := range m.Answers {
			read, err := q.ParseResponse(a.Range, "members", []byte(a.Blob))
			if err != nil {
				return false
			}
			o.Responses = append(o.Responses, read)
		}
		body = q.MergeResponses(o)
	}
	var m map[string]any
	if json.Unmarshal(body, &m) != nil {
		return false
	}
	return fmt.Sprint(idsAndTotal(m)) == fmt.Sprint(idsAndTotal(s.want))
}

func idsAndTotal(m map[string]any) []any {
	hits, _ := m["hits"].(map[string]any)
	out := []any{hits["total"]}
	list, _ := hits["hits"].([]any)
	for _, h := range list {
		out = append(out, h.(map[string]any)["_id"])
	}
	return out
}
