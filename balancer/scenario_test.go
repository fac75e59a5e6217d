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
const defaultSettings = `Tick=5 Balancers=2 Specifics.Sets=2 Specifics.Reach=1 Specifics.PerCall=1 Classes.count=2
Classes.0.Aim=1500 Classes.0.Deadline=4000 Classes.0.Effect=retryable Classes.0.LateShare=0.3
Classes.1.Aim=1500 Classes.1.Deadline=4000 Classes.1.Effect=retryable Classes.1.LateShare=0.3
Specifics.NeedByClass=0.6,1 Specifics.ClassFloor=0.6,1 Specifics.FollowUp=0,0 Permissions.MaxAttempts=3
Permissions.SecondCopies=true Permissions.Cancelling=true Permissions.RetryAfter=true
Permissions.MaxRetryAfter=500 Safety.Cold=10000 Safety.ColdFrom=0.2 Safety.FallMultiple=2 Safety.Fall=2000
Safety.DrainGrace=1000`

type scheduledEvent struct {
	at  int64
	run func()
}

type scenario struct {
	t                *testing.T
	balancer         Balancer
	now              int64
	actions          []string // since the last mark
	allActions       []string
	events           []scheduledEvent
	settings         map[string]string
	replies          map[string][]string
	lossy            map[string]uint64 // of so many searches one is not answered
	attemptCounts    map[uint64]int
	attemptsInFlight map[uint64]int
	recounts         bool
	endedAttempts    map[[2]uint64]bool
	searchOf         map[uint64]uint64 // part to search
	owedAnswers      map[uint64]int    // final answers still owed
	lastSteady       uint64
	report           map[string]float64  // with each outcome
	secondSteps      map[uint64]string   // shards of the second step, by search
	onRequestsAdded  func(search uint64) // after its parts; nil where nothing is bound
	onSend           func(search uint64, replica string)
}

func (s *scenario) record(format string, v ...any) {
	s.actions, s.allActions = append(s.actions, fmt.Sprintf(format, v...)), append(s.allActions, fmt.Sprintf(format, v...))
}

func (s *scenario) schedule(wait int64, do func()) {
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > s.now+wait })
	s.events = slices.Insert(s.events, i, scheduledEvent{s.now + wait, do})
}

func (s *scenario) CancelAttempt(part uint64, leg int) {
	require.True(s.t, s.onRequestsAdded != nil || s.settings["Permissions.Cancelling"] == "true")
	s.record("cancel %d.%d", part, leg)
	s.scheduleOutcome(part, leg, "Canceled", 10)
}

func (s *scenario) SetTimer(wait int64, label uint64) {
	s.schedule(wait, func() { s.balancer.HandleTimer(label) })
}
func (s *scenario) CancelTimer(uint64)                      {}
func (s *scenario) ProbeReplica(replica string)             { s.record("probe %s", replica) }
func (s *scenario) WatchEndpoints()                         { s.record("watch") }
func (s *scenario) LogMessage(text string)                  { s.record("note %s", text) }
func (s *scenario) ShedSearch(search uint64, retryIn int64) { s.finalAnswer(search, "shed") }
func (s *scenario) FailSearch(search uint64)                { s.finalAnswer(search, "error") }

func (s *scenario) finalAnswer(search uint64, how string) {
	s.record("%s %d", how, search)
	s.owedAnswers[search]--
	require.GreaterOrEqual(s.t, s.owedAnswers[search], 0, "second final answer to %d", search)
}

func (s *scenario) AnswerSearch(search uint64, whole bool) {
	if shards := s.secondSteps[search]; shards != "" {
		delete(s.secondSteps, search)
		s.record("first %d %v", search, whole)
		s.schedule(50, func() { s.addRequests(search, search*100+50, shards, "") })
		return
	}
	s.finalAnswer(search, fmt.Sprintf("answer %v", whole))
}

func (s *scenario) SendAttempt(part uint64, replica string, timeout int64) {
	s.record("send %d %s", part, replica)
	if s.onSend != nil {
		s.onSend(s.searchOf[part], replica)
	}
	require.Positive(s.t, s.owedAnswers[s.searchOf[part]], "part %d sent after the final answer", part)
	leg := s.attemptCounts[part]
	s.attemptCounts[part]++
	s.attemptsInFlight[part]++
	require.LessOrEqual(s.t, s.attemptCounts[part], int(s.number(s.settings["Permissions.MaxAttempts"])))
	require.True(s.t, s.attemptsInFlight[part] == 1 || s.settings["Permissions.SecondCopies"] == "true", "copy of %d", part)
	if r := s.replies[replica]; r != nil && (s.lossy[replica] == 0 || s.searchOf[part]%s.lossy[replica] > 0) {
		s.scheduleOutcome(part, leg, r[0], s.number(r[1])*10)
	} else {
		s.scheduleOutcome(part, leg, "TimedOut", timeout)
	}
}

func (s *scenario) scheduleOutcome(part uint64, leg int, ending string, wait int64) {
	sent := s.now
	s.schedule(wait, func() {
		if key := [2]uint64{part, uint64(leg)}; !s.endedAttempts[key] {
			s.endedAttempts[key] = true
			s.attemptsInFlight[part]--
			s.balancer.RecordAttemptOutcome(part, leg, ending, s.now-sent, false, s.report)
		}
	})
}

func (s *scenario) number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	require.NoError(s.t, err)
	return n
}

// playUntil plays what is due until then, one turn for each moment.
func (s *scenario) playUntil(at int64) {
	for {
		if len(s.events) == 0 || s.events[0].at > at {
			s.now = at
			return
		}
		s.now = s.events[0].at
		s.iterate(func() {
			for len(s.events) > 0 && s.events[0].at == s.now {
				do := s.events[0].run
				s.events = s.events[1:]
				do()
			}
		})
	}
}

func (s *scenario) iterate(do func()) {
	s.balancer.BeginIteration(s.now)
	do()
	s.balancer.EndIteration()
	if s.recounts {
		s.checkInflightCount()
	}
}

// checkInflightCount holds what is kept against a count of all. It reads what decays, which may move last digits.
func (s *scenario) checkInflightCount() {
	c := s.balancer.(*balancer)
	n := 0 // what is kept, recounted
	for _, t := range c.inflight.attempts.entries {
		if t.holdsSlot && float64(c.now-t.sentAt) <= c.silenceThreshold() && !c.isOutlier(t.replica) {
			n++
		}
	}
	require.Equal(s.t, n, c.effectiveInFlight())
}

func (s *scenario) addRequests(search, first uint64, shards, weights string) {
	list := strings.Split(shards, ",")
	for i, shard := range list {
		w := 1 / float64(len(list))
		if weights != "" {
			w, _ = strconv.ParseFloat(strings.Split(weights, ",")[i], 64)
		}
		s.searchOf[first+uint64(i)] = search
		s.balancer.AddShardRequest(first+uint64(i), search, int(s.number(shard)), w)
	}
	if s.onRequestsAdded != nil {
		s.onRequestsAdded(search)
	}
}

// addSearch takes "ID type grace shards [weights [again]]".
func (s *scenario) addSearch(id uint64, w []string) {
	w = append(w, "", "")
	s.owedAnswers[id] = 1
	s.iterate(func() {
		s.balancer.AddSearch(id, int(s.number(w[0])), 0, "-", s.number(w[1])*10, id, strings.Count(w[2], ",")+1, w[4] == "again")
		s.addRequests(id, id*100, w[2], w[3])
	})
}

func (s *scenario) commitList(how string, entries []string) {
	for _, e := range entries {
		f := append(strings.Split(e, "/"), "healthy", "0")
		if len(f) == 5 {
			f = []string{f[0], f[1], f[2], f[4]}
		}
		s.balancer.AddEndpoint(f[0], strings.Count(f[0], "far"), 0, int(s.number(f[1])), f[2], 1, s.number(f[3])*10)
	}
	s.balancer.CommitEndpoints(how, 1)
}

func (s *scenario) runLine(w []string) {
	switch w[0] {
	case "facts":
		for _, f := range w[1:] {
			name, value, _ := strings.Cut(f, "=")
			s.settings[name] = value
		}
	case "start":
		s.iterate(func() { s.balancer.Configure(7, s.settings); s.commitList("Persisted", w[1:]) })
		s.playUntil(100)
	case "list":
		s.iterate(func() { s.commitList(w[1], w[2:]) })
	case "when":
		for _, id := range strings.Split(w[1], ",") {
			s.replies[id], s.lossy[id] = w[2:], 0
		}
	case "silent":
		s.lossy[w[1]] = uint64(s.number(append(w, "1")[2]))
	case "at":
		s.playUntil(s.number(w[1]) * 10)
	case "search":
		s.addSearch(uint64(s.number(w[1])), w[2:])
	case "steady": // COUNT EVERY type grace shards
		for range s.number(w[1]) {
			s.lastSteady++
			s.addSearch(1000+s.lastSteady, w[3:])
			s.playUntil(s.now + s.number(w[2])*10)
		}
	case "held":
		share, err := strconv.ParseFloat(w[1], 64)
		require.NoError(s.t, err)
		s.iterate(func() { s.balancer.SetUtilization(share) })
	case "second":
		s.secondSteps[uint64(s.number(w[1]))] = w[2]
	case "withdraw":
		s.owedAnswers[uint64(s.number(w[1]))] = 0
		s.iterate(func() { s.balancer.CancelSearch(uint64(s.number(w[1]))) })
	case "mark":
		if s.actions = nil; len(w) > 1 {
			s.runLine(w[1:])
		}
	case "expect": // LEAST[-MOST] PATTERN
		low, high, both := strings.Cut(w[1], "-")
		if !both {
			high = low
		}
		re, n := regexp.MustCompile("^"+strings.Join(w[2:], " ")+"$"), int64(0)
		for _, a := range s.actions {
			if re.MatchString(a) {
				n++
			}
		}
		require.True(s.t, s.number(low) <= n && n <= s.number(high), "%d of %v in %q", n, w, s.actions)
	default:
		s.t.Fatalf("unknown line %v", w)
	}
}

func playActions(t *testing.T, text string) []string { return playToEnd(t, text).allActions }

func playToEnd(t *testing.T, text string) *scenario {
	s := newScenario(t, text)
	s.playUntil(s.now + 100_000)
	for id, owed := range s.owedAnswers {
		require.Zero(t, owed, "search %d has no final answer", id)
	}
	return s
}

func newScenario(t *testing.T, text string) *scenario { return newScenarioWithRecount(t, text, false) }

func newScenarioWithRecount(t *testing.T, text string, recount bool) *scenario {
	s := &scenario{
		t: t, settings: map[string]string{}, replies: map[string][]string{}, attemptCounts: map[uint64]int{},
		lossy: map[string]uint64{}, attemptsInFlight: map[uint64]int{}, endedAttempts: map[[2]uint64]bool{}, now: 10, recounts: recount,
		searchOf: map[uint64]uint64{}, owedAnswers: map[uint64]int{}, secondSteps: map[uint64]string{},
	}
	s.balancer = New(s)
	s.runLine(append([]string{"facts"}, strings.Fields(defaultSettings)...))
	s.runLines(text)
	return s
}

func (s *scenario) runLines(text string) {
	for _, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if w := strings.Fields(line); len(w) > 0 {
			s.runLine(w)
		}
	}
}

// Nothing of a search is held once it has its final answer, however long its client would have waited. Guards
// against memory that follows rate times client timeout.
func TestEndedSearchesHoldNothing(t *testing.T) {
	s := playToEnd(t, "start a/0 b/0 c/1 d/1\nwhen a,b,c Ok 20\nwhen d Failed 5\nsteady 400 10 1 60000 0,1,0,1")
	c := s.balancer.(*balancer)
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
			first := playActions(t, string(text))
			require.True(t, slices.Equal(first, playActions(t, string(text))), "same events, other actions")
		})
	}
}

// Replicas that have left are forgotten, told of one by one or by a whole list.
func TestDepartedReplicasAreForgotten(t *testing.T) {
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
