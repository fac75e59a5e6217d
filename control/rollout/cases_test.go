package rollout

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// A cut at the moment at which a step opens, for each step: the small side stays as it is, and after the cut all have it.
func TestPartitionAtEachStep(t *testing.T) {
	f := testChangeFile(1, "together: 0.3")
	for k := range len(f.Change.steps(11)) + 1 {
		w := newSimulation(t, 11, int64(k))
		w.setChangeFile(f, 3)
		opened := func() bool {
			for _, n := range w.nodes {
				if n.controller != nil && n.controller.open >= k+1 {
					return true
				}
			}
			return false
		}
		require.True(t, w.runUntil(600*second, opened), "step %d", k+1)
		w.isCut = func(a, b int) bool { return (a < 4) != (b < 4) }
		w.runUntil(grantedRestartTime(f), nil) // what was granted before the cut may be done
		var before []uint64
		for _, n := range w.nodes[:4] {
			before = append(before, n.runningNumber)
		}
		w.runUntil(40*second, nil)
		for i, n := range w.nodes[:4] {
			require.Equal(t, before[i], n.runningNumber, "step %d, %s", k+1, n.instance.Name)
		}
		w.isCut = func(a, b int) bool { return false }
		require.True(t, w.runUntil(900*second, w.hasAgreed), "step %d", k+1)
	}
}

// The first that takes a change is killed as it reports, and comes back: the change goes on. It stays away: it is stopped,
// and the side that lost it neither goes on nor leaves the others behind.
func TestFirstInstanceIsKilledAfterRestart(t *testing.T) {
	for away, want := range map[int64]Order{5 * second: OrderProceed, 500 * second: OrderRollBack} {
		w := newSimulation(t, 9, 1)
		w.setChangeFile(testChangeFile(1), 0)
		var first *node
		require.True(t, w.runUntil(300*second, func() bool {
			for _, n := range w.nodes {
				if n.runningNumber == 1 && n.controller != nil && n.controller.status.ServingFor >= 0 {
					first = n
				}
			}
			return first != nil
		}))
		w.kill(first, away)
		require.True(t, w.runUntil(1500*second, w.hasAgreed))
		require.Equal(t, want, w.nodes[0].controller.status.Verdict.Order)
		if want == OrderRollBack {
			require.Len(t, w.instancesByChange[1], 1)
		}
	}
}

// An instance that is away through two whole changes runs the second once it is back, by way of the first, which was what
// the others had before.
func TestAbsentInstanceCatchesUp(t *testing.T) {
	w := newSimulation(t, 7, 1)
	w.runUntil(70*second, nil)
	var all []Instance
	for _, n := range w.nodes {
		all = append(all, n.instance)
	}
	last := newRoster("c/1", all).order[6].Name // the first of a change would hold it up
	require.NotEqual(t, last, newRoster("c/2", all).order[0].Name)
	var lost *node
	for _, n := range w.nodes {
		if n.instance.Name == last {
			lost = n
		}
	}
	lost.controller, lost.startsAt = nil, w.now+2000*second
	here := func(number uint64) func() bool {
		return func() bool {
			for _, n := range w.nodes {
				if d := n.controller; n != lost && (d == nil || d.active == nil || d.active.Number != number || !d.isComplete()) {
					return false
				}
			}
			return true
		}
	}
	w.setChangeFile(testChangeFile(1), 0)
	require.True(t, w.runUntil(900*second, here(1)))
	w.setChangeFile(testChangeFile(2), (lost.index+1)%7)
	require.True(t, w.runUntil(900*second, here(2)))
	lost.startsAt = w.now
	require.True(t, w.runUntil(600*second, w.isComplete))
	require.Equal(t, uint64(2), lost.runningNumber)
}

// Files that differ under one number stop it for all before anybody takes either; a new number goes on.
func TestConflictingChangeFilesStopTheChange(t *testing.T) {
	w := newSimulation(t, 9, 1)
	w.setChangeFile(testChangeFile(1), 2)
	other := testChangeFile(1)
	other.Change.Settings = map[string]string{"Safety.ExtraFloor": "0.9"}
	w.setChangeFile(other, 7)
	require.True(t, w.runUntil(300*second, func() bool {
		for _, n := range w.nodes {
			if n.controller == nil || n.controller.active == nil || n.controller.status.Verdict.Order != OrderStop {
				return false
			}
		}
		return true
	}))
	w.runUntil(60*second, nil)
	require.Zero(t, w.restartCount)
	w.setChangeFile(testChangeFile(2), 2, 7)
	require.True(t, w.runUntil(900*second, w.isComplete))
}

// A file that is cut anywhere is not taken, and says why.
func TestTruncatedFileIsRejected(t *testing.T) {
	text, err := os.ReadFile("../../deploy/rollout.yaml")
	require.NoError(t, err)
	f, err := ParseChangeFile("rollout.yaml", text)
	require.NoError(t, err)
	require.Equal(t, 4, len(f.Change.Stages))
	for n := range len(strings.TrimRight(string(text), "\n")) - 1 {
		_, err := ParseChangeFile("rollout.yaml", text[:n])
		require.NotEmpty(t, advice.For(err), "%d bytes", n)
	}
}

func TestFileErrorsNameTheirPosition(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"number: 12", "number: 0", "[5:9] number"},
		{"share: 0.05", "share: 1.5", "stages[1]"},
		{"watch: 5m", "watch: soon", "stages[0].watch"},
		{"ExtraFloor: 0.5", "ExtraFlor: 0.5", "Safety.ExtraFlor"},
		{"false_stops: 0.02", "false_stops: 0.5", "worse.false_stops"},
		{"silent: 4m", "silent: 4s", "silent"},
		{"then: back", "then: so what", "then"},
	} {
		text, err := os.ReadFile("../../deploy/rollout.yaml")
		require.NoError(t, err)
		require.Contains(t, string(text), c.from)
		_, err = ParseChangeFile("rollout.yaml", []byte(strings.Replace(string(text), c.from, c.to, 1)))
		require.ErrorContains(t, err, c.want)
	}
}

// Every stage holds about its share of each zone, whatever the change's name.
func TestStepsSpreadOverZones(t *testing.T) {
	var all []Instance
	for i := range 300 {
		all = append(all, Instance{fmt.Sprint("n", i), fmt.Sprint("r", i%3), fmt.Sprint("z", i%6/3)})
	}
	for seed := range 50 {
		r := newRoster(fmt.Sprint("change", seed), all)
		for _, n := range []int{12, 75, 150} {
			zones := map[string]int{}
			for _, p := range r.order[:n] {
				zones[p.Region+p.Zone]++
			}
			for zone, has := range zones {
				require.InDelta(t, float64(n)/6, has, 1, "%s of %d", zone, n)
			}
		}
	}
}

// Each failure that an operator may see says what to do, and stands in docs/oncall.md.
func TestErrorsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, e := range []advice.Provider{&InvalidChangeFileError{}, &InvalidEntryError{}, &ChangeStoppedError{}, &ConflictingChangesError{}, &StaleChangeFileError{}, &MemberListMismatchError{}, &ChangeNotAppliedError{}, &ChangeTooLargeError{}, &StepDelayedError{}} {
		require.NotEmpty(t, e.Advice(), "%T", e)
	}
	for _, file := range []string{"change.go", "desk.go", "errors.go", "word.go", "../../cmd/chalkring/rollout.go", "../../cmd/chalkring/keeper.go"} {
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		for _, d := range tree.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "Advice" {
				name := f.Recv.List[0].Type.(*ast.StarExpr).X.(*ast.Ident).Name
				require.True(t, strings.Contains(string(page), "| `"+name+"` |"), "%s is not in docs/oncall.md", name)
			}
		}
	}
}

// What a later version adds to a word is passed over, and what an earlier one did not say is nothing.
func TestStatusMessagesOfOtherVersions(t *testing.T) {
	later := map[int]any{1: map[int]any{1: "a", 9: "new"}, 2: 7, 3: 1, 10: 4, 11: 20, 12: map[int]any{1: 3, 2: 4, 3: "new"}, 99: []int{1}}
	text, err := cborEncoder.Marshal(later)
	require.NoError(t, err)
	d := New(InitialState{Self: Instance{Name: "b"}, Incarnation: 1, Members: []string{"a", "b"}})
	require.NoError(t, d.HandleEntry(1, StatusMessageKey("a"), text))
	require.Equal(t, PermitRequest{Number: 3, TargetNumber: 4}, d.peers["a"].PermitRequest)
	require.Equal(t, uint64(4), d.peers["a"].RunningNumber)
	var spoilt *InvalidEntryError
	require.ErrorAs(t, d.HandleEntry(2, StatusMessageKey("b2"), text), &spoilt) // a word under another's name
	require.ErrorAs(t, d.HandleEntry(2, StatusMessageKey("a"), text[:9]), &spoilt)
	earlier, err := cborEncoder.Marshal(map[int]any{1: map[int]any{1: "a"}, 2: 6, 3: 9, 10: 3})
	require.NoError(t, err)
	require.NoError(t, d.HandleEntry(3, StatusMessageKey("a"), earlier)) // a life before: late
	require.Equal(t, uint64(4), d.peers["a"].RunningNumber)
}
