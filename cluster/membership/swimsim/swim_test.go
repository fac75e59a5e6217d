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
	w := NewCluster(rapid.Int64().Draw(t, "seed"), n)
	w.PacketLoss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
	side, changed := make([]int, n), int64(0)
	deaf := [2]int{-1, -1} // one way that carries nothing
	w.IsPartitioned = func(from, to int) bool { return side[from] != side[to] || deaf == [2]int{from, to} }
	highest := map[string]uint64{}
	over := map[string]bool{}
	w.OnStep = func(at int64, w *Cluster) {
		for _, i := range w.Instances {
			if !i.Running || i.Paused {
				continue
			}
			with := 0
			for _, o := range w.Instances {
				if o.Running && !o.Paused && side[o.Index] == side[i.Index] {
					with++
				}
			}
			if at-changed > settled && 2*with <= n {
				require.False(t, i.Table.HasMajority(at), "%s goes on among %d of %d", i.NodeName, with, n)
			}
			for _, m := range i.Table.Members() {
				at := i.NodeName + " of " + m.Name
				require.GreaterOrEqual(t, m.Incarnation, highest[at], "%s: an old incarnation came back", at)
				highest[at] = m.Incarnation
				life := fmt.Sprint(at, m.Incarnation)
				require.False(t, over[life] && !m.State.IsTerminal(), "%s: a life that was over came back", life)
				over[life] = m.State.IsTerminal()
			}
			require.Empty(t, i.Table.NameConflicts())
		}
	}
	w.RunUntil(5 * Second)
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
			if w.Instances[no].Running && !w.Instances[no].Paused {
				w.Leave(no)
			}
		case "start":
			w.Kill(no)
			w.Start(no)
		case "heal":
			clear(side)
		case "hold":
			w.Pause(no)
		case "go":
			w.Resume(no)
		case "one way":
			deaf = [2]int{no, rapid.IntRange(0, n-1).Draw(t, "to")}
		}
		changed = w.Now
		w.RunUntil(w.Now + rapid.Int64Range(Second, 20*Second).Draw(t, "for"))
	}
	clear(side)
	changed, w.PacketLoss, deaf = w.Now, 0, [2]int{-1, -1}
	for no, i := range w.Instances {
		w.Resume(no)
		if !i.Running {
			w.Start(no)
		}
	}
	w.RunUntil(w.Now + 20*Second)
	for _, i := range w.Instances {
		heard, _ := i.Table.CountAliveVoters(w.Now)
		require.Equal(t, n, heard, "%s: all are back", i.NodeName)
		for _, m := range i.Table.Members() {
			require.Equal(t, w.Instances[0].Table.Members()[slot(w, m.Name)].Incarnation, m.Incarnation, "one book")
		}
	}
}

func slot(w *Cluster, name string) (at int) {
	for at = range w.Instances {
		if InstanceName(at) == name {
			return at
		}
	}
	return -1
}

func TestDrawnHistories(t *testing.T) { rapid.Check(t, history) }

func TestOneAloneNoticesAtOnce(t *testing.T) {
	w := NewCluster(1, 60)
	w.RunUntil(10 * Second)
	for _, i := range w.Instances {
		heard, _ := i.Table.CountAliveVoters(w.Now)
		require.Equal(t, 60, heard)
	}
	w.IsPartitioned = func(from, to int) bool { return (from == 7) != (to == 7) }
	w.RunUntil(13 * Second)
	require.False(t, w.Instances[7].Table.HasMajority(w.Now), "the library alone would need half a minute")
	w.RunUntil(20 * Second)
	for _, m := range w.Instances[7].Table.Members() {
		require.NotEqual(t, membership.Dead, m.State)
	}
	state, _ := w.Instances[0].Table.IncarnationState(InstanceName(7), w.Instances[7].Table.Self().Incarnation)
	require.Equal(t, membership.Dead, state)
}

func TestOneThatWasStoppedBelievesNothingOld(t *testing.T) {
	w := NewCluster(2, 5)
	w.RunUntil(6 * Second)
	require.True(t, w.Instances[3].Table.HasMajority(w.Now))
	w.Pause(3)
	w.RunUntil(7 * Second)
	w.IsPartitioned = func(from, to int) bool { return (from == 3) != (to == 3) }
	w.RunUntil(20 * Second)
	require.False(t, w.Instances[3].Table.HasMajority(w.Now), "before it has done anything")
	w.Resume(3)
	w.OnStep = func(at int64, w *Cluster) { require.False(t, w.Instances[3].Table.HasMajority(at)) }
	w.RunUntil(30 * Second)
	w.IsPartitioned, w.OnStep = nil, nil
	w.RunUntil(36 * Second)
	require.True(t, w.Instances[3].Table.HasMajority(w.Now))
}
