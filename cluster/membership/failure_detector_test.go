package membership

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	testStep    = 100 * ticksPerMillisecond
	testSeconds = 1000 * ticksPerMillisecond
)

// detectorTest drives a's failure detector; the members in silent do not answer pings.
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

func TestDetectorPingsEachVoterInTurn(t *testing.T) {
	d := newDetectorTest("b", "c", "x")
	d.run(4 * testSeconds)
	require.InDelta(t, 4, d.pings[nodeName("b")], 1)
	require.InDelta(t, 4, d.pings[nodeName("c")], 1)
	require.Zero(t, d.pings[nodeName("x")], "x is no voter")
}

func TestSilentVoterIsSuspectUntilItAnswers(t *testing.T) {
	d := newDetectorTest("b", "c", "d", "e")
	d.silent["b"] = true
	d.run(5 * testSeconds)
	require.Equal(t, Suspect, d.state("b"))
	require.Equal(t, Alive, d.state("c"))
	d.silent["b"] = false
	d.run(5 * testSeconds)
	require.Equal(t, Alive, d.state("b"))
}

func TestMissingSilentNodeIsDeclaredDeadByAMajorityOnly(t *testing.T) {
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
			d.run(5 * testSeconds)
			for _, name := range test.silent {
				d.detector.RecordNodeMissing(d.now, nodeName(name))
			}
			d.run(10 * testSeconds)
			for _, name := range test.silent {
				require.Equal(t, test.want, d.state(name))
			}
		})
	}
}

func TestMissingNodeThatAnswersStaysSuspect(t *testing.T) {
	d := newDetectorTest("b", "c", "d", "e")
	d.run(testSeconds)
	d.detector.RecordNodeMissing(d.now, nodeName("b"))
	require.False(t, d.detector.IsPresent(nodeName("b")))
	require.Empty(t, d.detector.NodeName("b"))
	d.run(10 * testSeconds)
	require.Equal(t, Suspect, d.state("b"))
	d.detector.RecordNodeAlive(d.now, nodeName("b"), member("b", 10, Alive))
	require.Equal(t, Alive, d.state("b"))
	require.Equal(t, nodeName("b"), d.detector.NodeName("b"))
}

func TestNobodyCountsAfterAPauseUntilASweepHasEnded(t *testing.T) {
	d := newDetectorTest("b", "c", "d", "e")
	d.run(testSeconds)
	require.True(t, d.table.HasMajority(d.now))
	for _, name := range []string{"b", "c", "d", "e"} {
		d.silent[name] = true
	}
	d.now += 10 * testSeconds
	d.detector.Tick(d.now)
	require.False(t, d.table.HasMajority(d.now))
	clear(d.silent)
	d.run(testSeconds)
	require.True(t, d.table.HasMajority(d.now))
}

func TestNodeOfAnEndedIncarnationIsRejected(t *testing.T) {
	d := newDetectorTest("b")
	require.Empty(t, d.detector.RejectedNodes())
	ended := Member{Name: "b", Incarnation: 10, State: Dead}
	d.table.ApplyUpdate(d.now, ended)
	require.Equal(t, []RejectedNode{{nodeName("b"), []Member{ended}}}, d.detector.RejectedNodes())
}

func TestLeavingNodeIsNoLongerTracked(t *testing.T) {
	d := newDetectorTest("b")
	require.True(t, d.detector.IsTracked(nodeName("b")))
	d.detector.RecordNodeAlive(d.now, nodeName("b"), member("b", 10, Left))
	require.False(t, d.detector.IsTracked(nodeName("b")))
	require.Equal(t, Left, d.state("b"))
}
