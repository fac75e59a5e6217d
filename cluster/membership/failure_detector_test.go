package membership

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	testStep   = 100 * ticksPerMillisecond
	testSecond = 1000 * ticksPerMillisecond
)

// detectorTest drives the failure detector of member a. The members in silent do not answer pings.
type detectorTest struct {
	now      int64
	table    *Table
	detector *FailureDetector
	silent   map[string]bool
	pings    map[string]int // by node name
}

func newDetectorTest(peers ...string) *detectorTest {
	d := &detectorTest{table: newTestTable(), silent: map[string]bool{}, pings: map[string]int{}}
	d.detector = NewFailureDetector(d.table, rand.New(rand.NewSource(1)))
	for _, name := range peers {
		d.detector.RecordNodeAlive(d.now, nodeName(name), member(name, 10, Alive))
	}
	return d
}

func nodeName(memberName string) string { return memberName + "#10" }

func (d *detectorTest) run(duration int64) {
	for until := d.now + duration; d.now < until; d.now += testStep {
		d.detector.Tick(d.now)
		for _, pinged := range d.detector.DuePings(d.now) {
			d.pings[pinged]++
			memberName := d.detector.nodes[pinged].member.Name
			d.detector.RecordPingResult(d.now+PingTimeout, pinged, !d.silent[memberName])
		}
	}
}

func (d *detectorTest) state(memberName string) State {
	state, _ := d.table.IncarnationState(memberName, 10)
	return state
}

// Each voter must be pinged once per probe round, and members that are not voters must never be pinged.
func TestDetectorPingsEachVoterInTurn(t *testing.T) {
	d := newDetectorTest("b", "c", "x")
	d.run(4 * testSecond)
	require.InDelta(t, 4, d.pings[nodeName("b")], 1)
	require.InDelta(t, 4, d.pings[nodeName("c")], 1)
	require.Zero(t, d.pings[nodeName("x")], "x is not a voter")
}

// A voter that stops answering pings must become suspect within 5 s, without the gossip library's report and without making
// other voters suspect, and must become alive again once it answers.
func TestSilentVoterIsSuspectUntilItAnswers(t *testing.T) {
	d := newDetectorTest("b", "c", "d", "e")
	d.silent["b"] = true
	d.run(5 * testSecond)
	require.Equal(t, Suspect, d.state("b"))
	require.Equal(t, Alive, d.state("c"))
	d.silent["b"] = false
	d.run(5 * testSecond)
	require.Equal(t, Alive, d.state("b"))
}

// An instance in a minority must not declare dead the nodes that it cannot reach: it would report them as dead to all others
// when the partition heals.
func TestOnlyAMajorityDeclaresMissingSilentNodesDead(t *testing.T) {
	for _, test := range []struct {
		silent []string
		want   State
	}{
		{[]string{"b"}, Dead},
		{[]string{"b", "c"}, Dead},
		{[]string{"b", "c", "d"}, Suspect},
	} {
		t.Run(fmt.Sprint(test.silent), func(t *testing.T) {
			d := newDetectorTest("b", "c", "d", "e")
			for _, name := range test.silent {
				d.silent[name] = true
			}
			d.run(5 * testSecond)
			for _, name := range test.silent {
				d.detector.RecordNodeMissing(d.now, nodeName(name))
			}
			d.run(10 * testSecond)
			for _, name := range test.silent {
				require.Equal(t, test.want, d.state(name))
			}
		})
	}
}

// A node that the gossip library declares dead although it answers pings must stay suspect, not become dead, until the
// library reports it alive.
func TestMissingNodeThatAnswersStaysSuspect(t *testing.T) {
	d := newDetectorTest("b", "c", "d", "e")
	d.run(testSecond)
	d.detector.RecordNodeMissing(d.now, nodeName("b"))
	require.False(t, d.detector.IsPresent(nodeName("b")))
	require.Empty(t, d.detector.NodeName("b"))
	d.run(10 * testSecond)
	require.Equal(t, Suspect, d.state("b"))
	d.detector.RecordNodeAlive(d.now, nodeName("b"), member("b", 10, Alive))
	require.Equal(t, Alive, d.state("b"))
	require.Equal(t, nodeName("b"), d.detector.NodeName("b"))
}

// A process that was stopped must not report a majority from results of before the stop: no other voter counts until a new
// sweep has ended.
func TestNoOtherVoterCountsAfterAPauseUntilASweepHasEnded(t *testing.T) {
	d := newDetectorTest("b", "c", "d", "e")
	d.run(testSecond)
	require.True(t, d.table.HasMajority(d.now))
	for _, name := range []string{"b", "c", "d", "e"} {
		d.silent[name] = true
	}
	d.now += 10 * testSecond
	d.detector.Tick(d.now)
	require.False(t, d.table.HasMajority(d.now))
	clear(d.silent)
	d.run(testSecond)
	require.True(t, d.table.HasMajority(d.now))
}

// A node that the gossip library reports as alive after its incarnation has ended in the table must be told so, else it
// would never take a new incarnation and would stay ended here.
func TestNodeOfAnEndedIncarnationIsRejected(t *testing.T) {
	d := newDetectorTest("b")
	require.Empty(t, d.detector.RejectedNodes())
	ended := Member{Name: "b", Incarnation: 10, State: Dead}
	d.table.ApplyUpdate(d.now, ended)
	require.Equal(t, []RejectedNode{{nodeName("b"), []Member{ended}}}, d.detector.RejectedNodes())
}

// A node that leaves must be recorded as left and no longer be pinged, else it would be reported as failed.
func TestLeavingNodeIsNoLongerTracked(t *testing.T) {
	d := newDetectorTest("b")
	require.True(t, d.detector.IsTracked(nodeName("b")))
	d.detector.RecordNodeAlive(d.now, nodeName("b"), member("b", 10, Left))
	require.False(t, d.detector.IsTracked(nodeName("b")))
	require.Equal(t, Left, d.state("b"))
}
