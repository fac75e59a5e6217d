package simwire

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testSettings = "Tick=5.0 Balancers=2 Classes.count=1 Classes.0.Aim=1500.0 Classes.0.Deadline=4000.0 " +
	"Classes.0.Effect=retryable Specifics.Sets=1 Specifics.Reach=1 Permissions.MaxAttempts=3 " +
	"Permissions.SecondCopies=true Permissions.Cancelling=true Novel.Thing=7"

// batch returns batch n, at n tenths of a second plus 0.25 ms, with these events.
func batch(n int, events ...string) string {
	return fmt.Sprintf("clock %d.25 %d\n%seob\n", n*100, n, strings.Join(append(events, ""), "\n"))
}

// startEvents returns the events that start instances and give each a list of two replicas.
func startEvents(instances ...int) (events []string) {
	for _, i := range instances {
		events = append(events, fmt.Sprintf("start %d 42 %s", i, testSettings), "census 0 2",
			"m 10.0.0.1:7003 0 0 0 healthy 1 -", "m 10.0.0.2:7003 0 0 0 healthy 1.5 -",
			fmt.Sprintf("members %d Persisted 1 0", i))
	}
	return events
}

// searchEvents returns the events of a search and its two shard requests, whose ids are search+1 and search+2.
func searchEvents(instance, search int) []string {
	return []string{
		fmt.Sprintf("inbound %d %d 0 0 - 3000.0 - %d -1 2 0", instance, search, search),
		fmt.Sprintf("inbound %d %d 0 0 - 3000.0 - %d 0 0.5 0", instance, search+1, search),
		fmt.Sprintf("inbound %d %d 0 0 - 3000.0 - %d 0 0.5 0", instance, search+2, search),
	}
}

func serve(t *testing.T, input string) string {
	var out strings.Builder
	require.NoError(t, Serve(strings.NewReader(input), &out))
	return out.String()
}

// Guards against a search that gets no attempts or no answer, and against a batch without events that gets no
// "finished" line.
func TestSearchIsAnswered(t *testing.T) {
	require.Equal(t, "finished 1\nfinished 2\n", serve(t, batch(1)+batch(2)))
	out := serve(t, batch(1, startEvents(3)...)+batch(2, searchEvents(3, 10)...)+
		batch(3, "returned 3 11 0 10.0.0.1:7003 Ok 99.5 1 latency_ms:3.5,novel:1")+
		batch(4, "returned 3 12 0 10.0.0.2:7003 Ok 199.5 1 -", "withdrawn 3 10", "fired 3 999"))
	require.Contains(t, out, "route 3 11 10.0.0.")
	require.Contains(t, out, "route 3 12 10.0.0.")
	require.Contains(t, out, "finished 3\nsettle_query 3 10 1\nfinished 4\n")
}

// Guards against acting on events of ended searches, stale timers and unknown ids, and against actions of a killed
// instance.
func TestStaleEventsAreIgnored(t *testing.T) {
	out := serve(t, batch(1, startEvents(3)...)+batch(2, append(searchEvents(3, 10), "withdrawn 3 10", "withdrawn 3 77",
		"fired 3 12345", "returned 3 11 0 10.0.0.1:7003 Canceled 1 1 -", "checked 3 Ok 10.0.0.1:7003 2.0 -",
		"first_byte 3 11 10.0.0.1:7003 0 1.0", "mail 3 1 00")...)+batch(3, "kill 3"))
	require.NotContains(t, out, "route")
	require.NotContains(t, out, "settle_query")
}

// Guards against sending the actions of an instance that was killed and started again in the same batch.
func TestActionsBeforeARestartAreDropped(t *testing.T) {
	out := serve(t, batch(1, append(startEvents(1), searchEvents(1, 10)...)...)+batch(2, append(append([]string{
		"returned 1 11 0 10.0.0.1:7003 Failed 1 0 -", "returned 1 12 0 10.0.0.2:7003 Ok 1 1 -", "withdrawn 1 10",
		"kill 1",
	}, startEvents(1)...), searchEvents(1, 20)...)...))
	require.Contains(t, out, "route 1 21")
	second := out[strings.Index(out, "finished 1"):]
	require.NotContains(t, second, " 11 ")
	require.NotContains(t, second, " 12 ")
}

// Guards against malformed input that is answered, or whose error doesn't name the line or the problem.
func TestMalformedInputIsRejected(t *testing.T) {
	for input, want := range map[string]string{
		"clock 1.0\n":                                                    "batch -, line 1",
		"clock x 1\neob\n":                                               "not a number",
		batch(1, "novel 3"):                                              `batch 1, line 2: unknown event "novel"`,
		batch(1, "fired 3 1"):                                            "not running",
		batch(1, "census 0 1", "m a 0 0"):                                "line 3: m has 3 values",
		batch(1, "census 0 -1"):                                          "line 2",
		batch(1, append(startEvents(3), "fired 3 x")...):                 "not a whole number",
		batch(1, append(startEvents(3), "fired 3")...):                   "fired has 1 values",
		batch(1, append(startEvents(3), "withdrawn 3 -")...):             "not an id",
		batch(1, append(startEvents(3), "members 3 Partial 2 9")...):     "refers to list 9",
		batch(1, append(startEvents(3), "returned 3 1 0 a Ok 1 2 -")...): "neither 1 nor 0",
		batch(1, append(startEvents(3), "checked 3 Ok a 1 x")...):        "load report",
		batch(1, "start 3 42 Broken"):                                    "has no value",
		"clock 1.0 1\n":                                                  "ends inside a batch",
		"clock 1.0 1\neo":                                                "ends inside a line",
	} {
		var out strings.Builder
		err := Serve(strings.NewReader(input), &out)
		require.ErrorContains(t, err, want, input)
		var malformedInput *MalformedInputError
		require.ErrorAs(t, err, &malformedInput)
		require.NotContains(t, out.String(), "finished")
	}
}

// Guards against a failure of one instance, here by invalid settings, that also ends the others.
func TestInstanceThatFailsEndsAlone(t *testing.T) {
	out := serve(t, batch(1, append(startEvents(1), "start 2 42 Classes.count=1 Specifics.Sets=x")...)+
		batch(2, searchEvents(1, 10)...))
	require.Contains(t, out, `die 2 setting Specifics.Sets: "x" is no number`)
	require.Equal(t, 1, strings.Count(out, "die"))
	require.Contains(t, out, "route 1")
}

// Guards against instances that share state: an instance has to act the same alone and beside others.
func TestInstancesAreIndependent(t *testing.T) {
	run := func(instances ...int) string {
		input := batch(1, startEvents(instances...)...)
		for n := 2; n < 40; n++ {
			var events []string
			for _, i := range instances {
				events = append(events, searchEvents(i, n*10)...)
			}
			input += batch(n, events...)
		}
		return serve(t, input)
	}
	actionsOf := func(out, instance string) []string {
		return regexp.MustCompile(`(?m)^\w+ `+instance+` .*$`).FindAllString(out, -1)
	}
	together := run(1, 2, 3)
	for _, i := range []string{"1", "2", "3"} {
		alone := actionsOf(run(int(i[0]-'0')), i)
		require.NotEmpty(t, alone)
		require.Equal(t, alone, actionsOf(together, i))
	}
}
