package balancer

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The notation is told in testdata/README. Two sets of shards; type 0 needs 60% of its parts, type 1 all.
const usualFacts = `Tick=5 Balancers=2 Specifics.Sets=2 Specifics.Reach=1 Specifics.PerCall=1 Classes.count=2
Classes.0.Aim=1500 Classes.0.Deadline=4000 Classes.0.Effect=retryable Classes.0.LateShare=0.3
Classes.1.Aim=1500 Classes.1.Deadline=4000 Classes.1.Effect=retryable Classes.1.LateShare=0.3
Specifics.NeedByClass=0.6,1 Specifics.ClassFloor=0.6,1 Specifics.FollowUp=0,0 Permissions.MaxAttempts=3
Permissions.SecondCopies=true Permissions.Cancelling=true Permissions.RetryAfter=true
Permissions.MaxRetryAfter=500 Safety.Cold=10000 Safety.ColdFrom=0.2 Safety.FallMultiple=2 Safety.Fall=2000
Safety.DrainGrace=1000`

type due struct {
	at int64
	do func()
}

type stage struct {
	t       *testing.T
	c       Balancer
	now     int64
	acts    []string // since the last mark
	all     []string
	later   []due
	facts   map[string]string
	replies map[string][]string
	lossy   map[string]uint64 // of so many searches one is not answered
	legs    map[uint64]int
	out     map[uint64]int
	recount bool
	ended   map[[2]uint64]bool
	owner   map[uint64]uint64 // part to search
	finals  map[uint64]int    // final answers still owed
	next    uint64
	report  map[string]float64  // with each outcome
	steps   map[uint64]string   // shards of the second step, by search
	bind    func(search uint64) // after its parts; nil where nothing is bound
	sends   func(search uint64, replica string)
}

func (s *stage) act(format string, v ...any) {
	s.acts, s.all = append(s.acts, fmt.Sprintf(format, v...)), append(s.all, fmt.Sprintf(format, v...))
}

func (s *stage) plan(wait int64, do func()) {
	i := sort.Search(len(s.later), func(i int) bool { return s.later[i].at > s.now+wait })
	s.later = slices.Insert(s.later, i, due{s.now + wait, do})
}

func (s *stage) CancelAttempt(part uint64, leg int) {
	require.True(s.t, s.bind != nil || s.facts["Permissions.Cancelling"] == "true")
	s.act("cancel %d.%d", part, leg)
	s.end(part, leg, "Canceled", 10)
}

func (s *stage) SetTimer(wait int64, label uint64)       { s.plan(wait, func() { s.c.HandleTimer(label) }) }
func (s *stage) CancelTimer(uint64)                      {}
func (s *stage) ProbeReplica(replica string)             { s.act("probe %s", replica) }
func (s *stage) WatchEndpoints()                         { s.act("watch") }
func (s *stage) LogMessage(text string)                  { s.act("note %s", text) }
func (s *stage) ShedSearch(search uint64, retryIn int64) { s.final(search, "shed") }
func (s *stage) FailSearch(search uint64)                { s.final(search, "error") }

func (s *stage) final(search uint64, how string) {
	s.act("%s %d", how, search)
	s.finals[search]--
	require.GreaterOrEqual(s.t, s.finals[search], 0, "second final answer to %d", search)
}

func (s *stage) AnswerSearch(search uint64, whole bool) {
	if shards := s.steps[search]; shards != "" {
		delete(s.steps, search)
		s.act("first %d %v", search, whole)
		s.plan(50, func() { s.parts(search, search*100+50, shards, "") })
		return
	}
	s.final(search, fmt.Sprintf("answer %v", whole))
}

func (s *stage) SendAttempt(part uint64, replica string, timeout int64) {
	s.act("send %d %s", part, replica)
	if s.sends != nil {
		s.sends(s.owner[part], replica)
	}
	require.Positive(s.t, s.finals[s.owner[part]], "part %d sent after the final answer", part)
	leg := s.legs[part]
	s.legs[part]++
	s.out[part]++
	require.LessOrEqual(s.t, s.legs[part], int(s.num(s.facts["Permissions.MaxAttempts"])))
	require.True(s.t, s.out[part] == 1 || s.facts["Permissions.SecondCopies"] == "true", "copy of %d", part)
	if r := s.replies[replica]; r != nil && (s.lossy[replica] == 0 || s.owner[part]%s.lossy[replica] > 0) {
		s.end(part, leg, r[0], s.num(r[1])*10)
	} else {
		s.end(part, leg, "TimedOut", timeout)
	}
}

func (s *stage) end(part uint64, leg int, ending string, wait int64) {
	sent := s.now
	s.plan(wait, func() {
		if key := [2]uint64{part, uint64(leg)}; !s.ended[key] {
			s.ended[key] = true
			s.out[part]--
			s.c.RecordAttemptOutcome(part, leg, ending, s.now-sent, false, s.report)
		}
	})
}

func (s *stage) num(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	require.NoError(s.t, err)
	return n
}

// to plays what is due until then, one turn for each moment.
func (s *stage) to(at int64) {
	for {
		if len(s.later) == 0 || s.later[0].at > at {
			s.now = at
			return
		}
		s.now = s.later[0].at
		s.turn(func() {
			for len(s.later) > 0 && s.later[0].at == s.now {
				do := s.later[0].do
				s.later = s.later[1:]
				do()
			}
		})
	}
}

func (s *stage) turn(do func()) {
	s.c.BeginIteration(s.now)
	do()
	s.c.EndIteration()
	if s.recount {
		s.recounted()
	}
}

// recounted holds what is kept against a count of all. It reads what decays, which may move last digits.
func (s *stage) recounted() {
	c := s.c.(*balancer)
	n := 0 // what is kept, recounted
	for _, t := range c.inflight.attempts.entries {
		if t.holdsSlot && float64(c.now-t.sentAt) <= c.silenceThreshold() && !c.isOutlier(t.replica) {
			n++
		}
	}
	require.Equal(s.t, n, c.effectiveInFlight())
}

func (s *stage) parts(search, first uint64, shards, weights string) {
	list := strings.Split(shards, ",")
	for i, shard := range list {
		w := 1 / float64(len(list))
		if weights != "" {
			w, _ = strconv.ParseFloat(strings.Split(weights, ",")[i], 64)
		}
		s.owner[first+uint64(i)] = search
		s.c.AddShardRequest(first+uint64(i), search, int(s.num(shard)), w)
	}
	if s.bind != nil {
		s.bind(search)
	}
}

// search takes "ID type grace shards [weights [again]]".
func (s *stage) search(id uint64, w []string) {
	w = append(w, "", "")
	s.finals[id] = 1
	s.turn(func() {
		s.c.AddSearch(id, int(s.num(w[0])), 0, "-", s.num(w[1])*10, id, strings.Count(w[2], ",")+1, w[4] == "again")
		s.parts(id, id*100, w[2], w[3])
	})
}

func (s *stage) list(how string, entries []string) {
	for _, e := range entries {
		f := append(strings.Split(e, "/"), "healthy", "0")
		if len(f) == 5 {
			f = []string{f[0], f[1], f[2], f[4]}
		}
		s.c.AddEndpoint(f[0], strings.Count(f[0], "far"), 0, int(s.num(f[1])), f[2], 1, s.num(f[3])*10)
	}
	s.c.CommitEndpoints(how, 1)
}

func (s *stage) line(w []string) {
	switch w[0] {
	case "facts":
		for _, f := range w[1:] {
			name, value, _ := strings.Cut(f, "=")
			s.facts[name] = value
		}
	case "start":
		s.turn(func() { s.c.Configure(7, s.facts); s.list("Persisted", w[1:]) })
		s.to(100)
	case "list":
		s.turn(func() { s.list(w[1], w[2:]) })
	case "when":
		for _, id := range strings.Split(w[1], ",") {
			s.replies[id], s.lossy[id] = w[2:], 0
		}
	case "silent":
		s.lossy[w[1]] = uint64(s.num(append(w, "1")[2]))
	case "at":
		s.to(s.num(w[1]) * 10)
	case "search":
		s.search(uint64(s.num(w[1])), w[2:])
	case "steady": // COUNT EVERY type grace shards
		for range s.num(w[1]) {
			s.next++
			s.search(1000+s.next, w[3:])
			s.to(s.now + s.num(w[2])*10)
		}
	case "held":
		share, err := strconv.ParseFloat(w[1], 64)
		require.NoError(s.t, err)
		s.turn(func() { s.c.SetUtilization(share) })
	case "second":
		s.steps[uint64(s.num(w[1]))] = w[2]
	case "withdraw":
		s.finals[uint64(s.num(w[1]))] = 0
		s.turn(func() { s.c.CancelSearch(uint64(s.num(w[1]))) })
	case "mark":
		if s.acts = nil; len(w) > 1 {
			s.line(w[1:])
		}
	case "expect": // LEAST[-MOST] PATTERN
		low, high, both := strings.Cut(w[1], "-")
		if !both {
			high = low
		}
		re, n := regexp.MustCompile("^"+strings.Join(w[2:], " ")+"$"), int64(0)
		for _, a := range s.acts {
			if re.MatchString(a) {
				n++
			}
		}
		require.True(s.t, s.num(low) <= n && n <= s.num(high), "%d of %v in %q", n, w, s.acts)
	default:
		s.t.Fatalf("unknown line %v", w)
	}
}

func play(t *testing.T, text string) []string { return perform(t, text).all }

func perform(t *testing.T, text string) *stage {
	s := begin(t, text)
	s.to(s.now + 100_000)
	for id, owed := range s.finals {
		require.Zero(t, owed, "search %d has no final answer", id)
	}
	return s
}

func begin(t *testing.T, text string) *stage { return beginWith(t, text, false) }

func beginWith(t *testing.T, text string, recount bool) *stage {
	s := &stage{
		t: t, facts: map[string]string{}, replies: map[string][]string{}, legs: map[uint64]int{},
		lossy: map[string]uint64{}, out: map[uint64]int{}, ended: map[[2]uint64]bool{}, now: 10, recount: recount,
		owner: map[uint64]uint64{}, finals: map[uint64]int{}, steps: map[uint64]string{},
	}
	s.c = New(s)
	s.line(append([]string{"facts"}, strings.Fields(usualFacts)...))
	s.lines(text)
	return s
}

func (s *stage) lines(text string) {
	for _, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if w := strings.Fields(line); len(w) > 0 {
			s.line(w)
		}
	}
}

// Nothing of a search is held once it has its final answer, however long its client would have waited. Guards
// against memory that follows rate times client timeout.
func TestWhatEndedSearchesHold(t *testing.T) {
	s := perform(t, "start a/0 b/0 c/1 d/1\nwhen a,b,c Ok 20\nwhen d Failed 5\nsteady 400 10 1 60000 0,1,0,1")
	c := s.c.(*balancer)
	require.Empty(t, c.searches.byID)
	require.Empty(t, c.searches.byNumber)
	require.Empty(t, c.searches.attempts)
	require.Zero(t, c.inflight.total)
	require.LessOrEqual(t, len(c.inflight.attempts.entries), compactMinEntries, "what has landed")
	require.Empty(t, c.timers.callbacks)
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		text, err := os.ReadFile(f)
		require.NoError(t, err)
		t.Run(filepath.Base(f), func(t *testing.T) {
			first := play(t, string(text))
			require.True(t, slices.Equal(first, play(t, string(text))), "same events, other actions")
		})
	}
}

// Replicas that have left are forgotten, told of one by one or by a whole list.
func TestReplicasThatLeave(t *testing.T) {
	c := New(nil).(*balancer)
	c.Configure(1, map[string]string{"Specifics.Sets": "1", "Specifics.Reach": "1"})
	for i := range 100 {
		c.BeginIteration(int64(i + 1))
		id := func(n int) string { return fmt.Sprint("r", n) }
		c.AddEndpoint(id(2*i), 0, 0, 0, "healthy", 1, 0)
		c.AddEndpoint(id(2*i+1), 0, 0, 0, "healthy", 1, 0)
		c.AddEndpoint(id(2*i-2), 0, 0, 0, "deregistered", 1, 0)
		c.CommitEndpoints("Partial", int64(i))
		require.LessOrEqual(t, len(c.endpoints.replicas), 3)
		c.AddEndpoint(id(2*i), 0, 0, 0, "healthy", 1, 0)
		c.CommitEndpoints("Complete", int64(i))
		require.Len(t, c.endpoints.replicas, 1)
		require.Len(t, c.endpoints.byID, 1)
		require.Equal(t, 1, c.endpoints.count())
	}
}
