package swimsim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/cluster/membership"
)

// settled is the time after which each has noticed what was done to the fleet, with packets lost on the way.
const settled = 8 * Second

// history is drawn faults on a small fleet; what must hold is looked at ten times a second.
func history(t *rapid.T) {
	n := rapid.IntRange(3, 7).Draw(t, "instances")
	w := New(rapid.Int64().Draw(t, "seed"), n)
	w.Loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
	side, changed := make([]int, n), int64(0)
	deaf := [2]int{-1, -1} // one way that carries nothing
	w.Cut = func(from, to int) bool { return side[from] != side[to] || deaf == [2]int{from, to} }
	highest := map[string]uint64{}
	over := map[string]bool{}
	w.Look = func(at int64, w *World) {
		for _, i := range w.All {
			if !i.Up || i.Held {
				continue
			}
			with := 0
			for _, o := range w.All {
				if o.Up && !o.Held && side[o.No] == side[i.No] {
					with++
				}
			}
			if at-changed > settled && 2*with <= n {
				require.False(t, i.Book.Majority(at), "%s goes on among %d of %d", i.Key, with, n)
			}
			for _, m := range i.Book.Members() {
				at := i.Key + " of " + m.Name
				require.GreaterOrEqual(t, m.Incarnation, highest[at], "%s: an old incarnation came back", at)
				highest[at] = m.Incarnation
				life := fmt.Sprint(at, m.Incarnation)
				require.False(t, over[life] && !m.State.Over(), "%s: a life that was over came back", life)
				over[life] = m.State.Over()
			}
			require.Empty(t, i.Book.Conflicts())
		}
	}
	w.Run(5 * Second)
	for range rapid.IntRange(1, 5).Draw(t, "faults") {
		no := rapid.IntRange(0, n-1).Draw(t, "whom")
		switch rapid.SampledFrom([]string{"cut", "cut", "kill", "start", "leave", "heal", "one way", "hold", "go"}).Draw(t, "what") {
		case "cut":
			for k := range side {
				side[k] = rapid.IntRange(0, 2).Draw(t, "side")
			}
		case "kill":
			w.Kill(no)
		case "leave":
			if w.All[no].Up && !w.All[no].Held {
				w.Leave(no)
			}
		case "start":
			w.Kill(no)
			w.Start(no)
		case "heal":
			clear(side)
		case "hold":
			w.Hold(no)
		case "go":
			w.Go(no)
		case "one way":
			deaf = [2]int{no, rapid.IntRange(0, n-1).Draw(t, "to")}
		}
		changed = w.Now
		w.Run(w.Now + rapid.Int64Range(Second, 20*Second).Draw(t, "for"))
	}
	clear(side)
	changed, w.Loss, deaf = w.Now, 0, [2]int{-1, -1}
	for no, i := range w.All {
		w.Go(no)
		if !i.Up {
			w.Start(no)
		}
	}
	w.Run(w.Now + 20*Second)
	for _, i := range w.All {
		heard, _ := i.Book.Heard(w.Now)
		require.Equal(t, n, heard, "%s: all are back", i.Key)
		for _, m := range i.Book.Members() {
			require.Equal(t, w.All[0].Book.Members()[slot(w, m.Name)].Incarnation, m.Incarnation, "one book")
		}
	}
}

func slot(w *World, name string) (at int) {
	for at = range w.All {
		if Name(at) == name {
			return at
		}
	}
	return -1
}

func TestDrawnHistories(t *testing.T) { rapid.Check(t, history) }

func TestOneAloneNoticesAtOnce(t *testing.T) {
	w := New(1, 60)
	w.Run(10 * Second)
	for _, i := range w.All {
		heard, _ := i.Book.Heard(w.Now)
		require.Equal(t, 60, heard)
	}
	w.Cut = func(from, to int) bool { return (from == 7) != (to == 7) }
	w.Run(13 * Second)
	require.False(t, w.All[7].Book.Majority(w.Now), "the library alone would need half a minute")
	w.Run(20 * Second)
	for _, m := range w.All[7].Book.Members() {
		require.NotEqual(t, membership.Gone, m.State)
	}
	state, _ := w.All[0].Book.Standing(Name(7), w.All[7].Book.Me().Incarnation)
	require.Equal(t, membership.Gone, state)
}

func TestOneThatWasStoppedBelievesNothingOld(t *testing.T) {
	w := New(2, 5)
	w.Run(6 * Second)
	require.True(t, w.All[3].Book.Majority(w.Now))
	w.Hold(3)
	w.Run(7 * Second)
	w.Cut = func(from, to int) bool { return (from == 3) != (to == 3) }
	w.Run(20 * Second)
	require.False(t, w.All[3].Book.Majority(w.Now), "before it has done anything")
	w.Go(3)
	w.Look = func(at int64, w *World) { require.False(t, w.All[3].Book.Majority(at)) }
	w.Run(30 * Second)
	w.Cut, w.Look = nil, nil
	w.Run(36 * Second)
	require.True(t, w.All[3].Book.Majority(w.Now))
}
