package balancer

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The notation of scenarios is described in testdata/README. By default there are two shard sets; query type 0 needs
// 60% of its requests, type 1 all of them.
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

// attemptID identifies an attempt by its request and its index.
type attemptID struct {
	request uint64
	index   int
}

// scenario is the protocol of one balancer. It plays the lines of a text, with replicas that answer as the text says,
// and records the actions.
type scenario struct {
	t        *testing.T
	balancer Balancer
	now      int64
	events   []scheduledEvent // in the order of their times

	actions    []string // since the last mark
	allActions []string

	settings      map[string]string
	replies       map[string][]string // outcome and milliseconds, by replica
	lossy         map[string]uint64   // by replica: one in this many searches gets no answer
	outcomeReport map[string]float64  // passed with each outcome

	attemptCounts    map[uint64]int // by request
	attemptsInFlight map[uint64]int // by request
	endedAttempts    map[attemptID]bool
	searchOf         map[uint64]uint64 // by request
	expectedAnswers  map[uint64]int    // number of final answers still expected, by search
	secondSteps      map[uint64]string // shards of the second step, by search
	lastSteady       uint64            // number of the last search of a steady line

	checksInflight  bool                // compares the count in flight with a recount after each iteration
	onRequestsAdded func(search uint64) // may be nil
	onSend          func(search uint64, replica string)
}

// newScenario plays a text, but not the events scheduled after its last line.
func newScenario(t *testing.T, text string) *scenario {
	return newScenarioWithRecount(t, text, false)
}

func newScenarioWithRecount(t *testing.T, text string, checksInflight bool) *scenario {
	s := &scenario{
		t: t, now: 10, checksInflight: checksInflight,
		settings: map[string]string{}, replies: map[string][]string{}, lossy: map[string]uint64{},
		attemptCounts: map[uint64]int{}, attemptsInFlight: map[uint64]int{}, endedAttempts: map[attemptID]bool{},
		searchOf: map[uint64]uint64{}, expectedAnswers: map[uint64]int{}, secondSteps: map[uint64]string{},
	}
	s.balancer = New(s)
	s.changeSettings(strings.Fields(defaultSettings))
	s.runLines(text)
	return s
}

// playToEnd plays a text until every search must have got its final answer.
func playToEnd(t *testing.T, text string) *scenario {
	s := newScenario(t, text)
	s.playUntil(s.now + 100_000)
	for id, missing := range s.expectedAnswers {
		require.Zero(t, missing, "search %d has no final answer", id)
	}
	return s
}

func playActions(t *testing.T, text string) []string { return playToEnd(t, text).allActions }

// state returns the balancer's internal state.
func (s *scenario) state() *balancer { return s.balancer.(*balancer) }

func (s *scenario) record(format string, values ...any) {
	action := fmt.Sprintf(format, values...)
	s.actions, s.allActions = append(s.actions, action), append(s.allActions, action)
}

func (s *scenario) schedule(wait int64, run func()) {
	at := s.now + wait
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > at })
	s.events = slices.Insert(s.events, i, scheduledEvent{at, run})
}

func (s *scenario) CancelAttempt(request uint64, index int) {
	require.True(s.t, s.onRequestsAdded != nil || s.settings[settingCancelling] == "true")
	s.record("cancel %d.%d", request, index)
	s.scheduleOutcome(request, index, OutcomeCanceled, 10)
}

func (s *scenario) SetTimer(wait int64, label uint64) {
	s.schedule(wait, func() { s.balancer.HandleTimer(label) })
}
func (s *scenario) CancelTimer(uint64)                      {}
func (s *scenario) ProbeReplica(replica string)             { s.record("probe %s", replica) }
func (s *scenario) WatchEndpoints()                         { s.record("watch") }
func (s *scenario) LogMessage(text string)                  { s.record("note %s", text) }
func (s *scenario) ShedSearch(search uint64, retryIn int64) { s.recordFinal(search, "shed") }
func (s *scenario) FailSearch(search uint64)                { s.recordFinal(search, "error") }

func (s *scenario) AnswerSearch(search uint64, isComplete bool) {
	shards := s.secondSteps[search]
	if shards == "" {
		s.recordFinal(search, fmt.Sprintf("answer %v", isComplete))
		return
	}
	delete(s.secondSteps, search)
	s.record("first %d %v", search, isComplete)
	s.schedule(50, func() { s.addRequests(search, search*100+50, shards, "") })
}

func (s *scenario) recordFinal(search uint64, kind string) {
	s.record("%s %d", kind, search)
	s.expectedAnswers[search]--
	require.GreaterOrEqual(s.t, s.expectedAnswers[search], 0, "second final answer for search %d", search)
}

func (s *scenario) SendAttempt(request uint64, replica string, timeout int64) {
	s.record("send %d %s", request, replica)
	search := s.searchOf[request]
	if s.onSend != nil {
		s.onSend(search, replica)
	}
	require.Positive(s.t, s.expectedAnswers[search], "request %d sent after the final answer", request)
	index := s.attemptCounts[request]
	s.attemptCounts[request]++
	s.attemptsInFlight[request]++
	require.LessOrEqual(s.t, s.attemptCounts[request], int(s.parseNumber(s.settings[settingMaxAttempts])))
	mayHedge := s.settings[settingHedging] == "true"
	require.True(s.t, s.attemptsInFlight[request] == 1 || mayHedge,
		"hedged attempt of request %d although hedging is off", request)
	reply, lossy := s.replies[replica], s.lossy[replica]
	if reply != nil && (lossy == 0 || search%lossy > 0) {
		s.scheduleOutcome(request, index, reply[0], s.parseNumber(reply[1])*millisecond)
	} else {
		s.scheduleOutcome(request, index, OutcomeTimedOut, timeout)
	}
}

func (s *scenario) scheduleOutcome(request uint64, index int, outcome string, wait int64) {
	sent, id := s.now, attemptID{request, index}
	s.schedule(wait, func() {
		if s.endedAttempts[id] {
			return
		}
		s.endedAttempts[id] = true
		s.attemptsInFlight[request]--
		s.balancer.RecordAttemptOutcome(request, index, outcome, s.now-sent, false, s.outcomeReport)
	})
}

func (s *scenario) parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	require.NoError(s.t, err)
	return n
}

// playUntil plays the events due until a time, with one iteration for each point in time.
func (s *scenario) playUntil(at int64) {
	for len(s.events) > 0 && s.events[0].at <= at {
		s.now = s.events[0].at
		s.iterate(func() {
			for len(s.events) > 0 && s.events[0].at == s.now {
				run := s.events[0].run
				s.events = s.events[1:]
				run()
			}
		})
	}
	s.now = at
}

// iterate runs a function within one iteration of the balancer.
func (s *scenario) iterate(do func()) {
	s.balancer.BeginIteration(s.now)
	do()
	s.balancer.EndIteration()
	if s.checksInflight {
		s.checkInflightCount()
	}
}

// checkInflightCount compares the count in flight with a recount of all attempts. Reading the decaying estimates for
// this may change their last digits.
func (s *scenario) checkInflightCount() {
	b := s.state()
	count := 0
	for _, a := range b.inflight.attempts.entries {
		if a.holdsSlot && float64(b.now-a.sentAt) <= b.silenceThreshold() && !b.isOutlier(a.replica) {
			count++
		}
	}
	require.Equal(s.t, count, b.effectiveInFlight())
}

// countSentTo returns how many actions since the last mark are attempts at a replica.
func (s *scenario) countSentTo(replica string) (count int) {
	for _, action := range s.actions {
		if strings.HasPrefix(action, "send ") && strings.HasSuffix(action, " "+replica) {
			count++
		}
	}
	return count
}

// addRequests adds the requests of a search's step, numbered from first.
func (s *scenario) addRequests(search, first uint64, shards, weights string) {
	list := strings.Split(shards, ",")
	for i, shard := range list {
		weight := 1 / float64(len(list))
		if weights != "" {
			weight, _ = strconv.ParseFloat(strings.Split(weights, ",")[i], 64)
		}
		s.searchOf[first+uint64(i)] = search
		s.balancer.AddShardRequest(first+uint64(i), search, int(s.parseNumber(shard)), weight)
	}
	if s.onRequestsAdded != nil {
		s.onRequestsAdded(search)
	}
}

// addSearch adds a search described by the words "TYPE TIMELEFT SHARDS [WEIGHTS [again]]".
func (s *scenario) addSearch(id uint64, words []string) {
	words = append(words, "", "")
	queryType, timeLeft, shards, weights, isRetry := words[0], words[1], words[2], words[3], words[4] == "again"
	s.expectedAnswers[id] = 1
	s.iterate(func() {
		count := strings.Count(shards, ",") + 1
		s.balancer.AddSearch(id, int(s.parseNumber(queryType)), 0, "-", s.parseNumber(timeLeft)*millisecond, id, count, isRetry)
		s.addRequests(id, id*100, shards, weights)
	})
}

// commitList passes on a list with entries "ID/SHARDSET[/STATUS[/START]]".
func (s *scenario) commitList(kind string, entries []string) {
	for _, entry := range entries {
		fields := strings.Split(entry, "/")
		id, shardSet, status, startedAt := fields[0], fields[1], StatusHealthy, "0"
		if len(fields) > 2 {
			status = fields[2]
		}
		if len(fields) > 3 {
			startedAt = fields[3]
		}
		zone := strings.Count(id, "far")
		s.balancer.AddEndpoint(id, zone, 0, int(s.parseNumber(shardSet)), status, 1, s.parseNumber(startedAt)*millisecond)
	}
	s.balancer.CommitEndpoints(kind, 1)
}

// runLines runs the lines of a scenario, ignoring comments.
func (s *scenario) runLines(text string) {
	for _, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if words := strings.Fields(line); len(words) > 0 {
			s.runLine(words)
		}
	}
}

func (s *scenario) runLine(words []string) {
	commands := map[string]func(words []string){
		"facts":    s.changeSettings,
		"start":    s.start,
		"list":     func(words []string) { s.iterate(func() { s.commitList(words[0], words[1:]) }) },
		"when":     s.setReplies,
		"silent":   func(words []string) { s.lossy[words[0]] = uint64(s.parseNumber(append(words, "1")[1])) },
		"at":       func(words []string) { s.playUntil(s.parseNumber(words[0]) * millisecond) },
		"search":   func(words []string) { s.addSearch(uint64(s.parseNumber(words[0])), words[1:]) },
		"steady":   s.addSteadySearches,
		"held":     s.setUtilization,
		"second":   func(words []string) { s.secondSteps[uint64(s.parseNumber(words[0]))] = words[1] },
		"withdraw": s.withdraw,
		"mark":     s.mark,
		"expect":   s.expect,
	}
	command := commands[words[0]]
	require.NotNil(s.t, command, "unknown command in line %v", words)
	command(words[1:])
}

func (s *scenario) changeSettings(words []string) {
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		s.settings[name] = value
	}
}

func (s *scenario) start(entries []string) {
	s.iterate(func() {
		s.balancer.Configure(7, s.settings)
		s.commitList(ListPersisted, entries)
	})
	s.playUntil(100)
}

func (s *scenario) setReplies(words []string) {
	for _, id := range strings.Split(words[0], ",") {
		s.replies[id], s.lossy[id] = words[1:], 0
	}
}

func (s *scenario) addSteadySearches(words []string) {
	count, interval := s.parseNumber(words[0]), s.parseNumber(words[1])*millisecond
	for range count {
		s.lastSteady++
		s.addSearch(1000+s.lastSteady, words[2:])
		s.playUntil(s.now + interval)
	}
}

func (s *scenario) setUtilization(words []string) {
	share, err := strconv.ParseFloat(words[0], 64)
	require.NoError(s.t, err)
	s.iterate(func() { s.balancer.SetUtilization(share) })
}

func (s *scenario) withdraw(words []string) {
	id := uint64(s.parseNumber(words[0]))
	s.expectedAnswers[id] = 0
	s.iterate(func() { s.balancer.CancelSearch(id) })
}

func (s *scenario) mark(words []string) {
	s.actions = nil
	if len(words) > 0 {
		s.runLine(words)
	}
}

// expect checks how many actions since the last mark match: "LOW[-HIGH] PATTERN".
func (s *scenario) expect(words []string) {
	low, high, isRange := strings.Cut(words[0], "-")
	if !isRange {
		high = low
	}
	pattern, count := regexp.MustCompile("^"+strings.Join(words[1:], " ")+"$"), int64(0)
	for _, action := range s.actions {
		if pattern.MatchString(action) {
			count++
		}
	}
	require.True(s.t, s.parseNumber(low) <= count && count <= s.parseNumber(high),
		"%d actions match %v in %q", count, words, s.actions)
}
