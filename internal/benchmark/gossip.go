package benchmark

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chalkring/cluster/gossip"
	book "chalkring/cluster/membership"
	"chalkring/cluster/membership/swimsim"
)

const (
	gossipLook   = 50 * time.Millisecond  // between looks at all books
	gossipSettle = 4 * time.Second        // for the words of the start to have gone round
	modelSettle  = 2 * time.Second        // from a fleet whose instances know each other
	gossipCalm   = 4 * time.Second        // in which bytes are counted
	gossipCut    = 8 * time.Second        // that a minority is cut off
	gossipBack   = 8 * time.Second        // for all to be back
	gossipKilled = 8 * time.Second        // for ends to be noticed
	modelLook    = 500 * time.Millisecond // likewise in the model
	modelLoss    = 0.01                   // share of the model's packets that is lost
	cutShare     = 0.3                    // of the instances that are cut off, one at the least
	killShare    = 0.1                    // that are killed, likewise
)

// view is an instance as a judge looks at it.
type view struct {
	name string
	up   bool
	side int
	book *book.Table
}

// with is how many of all are up on its side, itself counted.
func (v view) with(all []view) (n int) {
	for _, o := range all {
		if o.up && o.side == v.side {
			n++
		}
	}
	return n
}

type between struct{ of, on string }

// books looks at all instances' books again and again and keeps what it sees against what was done to them.
type books struct {
	listed   int
	fault    time.Duration // when the last fault began, 0 for none in force
	calm     time.Duration // from when on a suspicion of one that can be reached is false
	missed   map[between]float64
	gaveUp   map[between]float64
	lost     map[string]float64 // when a minority's instance had no majority
	states   map[between]book.Member
	wrong    int // suspicions of those that were up and could be reached
	old      []string
	minority []string // that reported a majority after the detection's time
}

// newBooks begins with nothing seen; so many instances are listed.
func newBooks(listed int) *books {
	return &books{listed: listed, states: map[between]book.Member{}}
}

// begin is the moment of a fault.
func (b *books) begin(at time.Duration) {
	b.fault, b.missed, b.gaveUp, b.lost = at, map[between]float64{}, map[between]float64{}, map[string]float64{}
}

// healed is the end of a fault; words of it are on their way for a while.
func (b *books) healed(at time.Duration) { b.fault, b.calm = 0, at+gossipBack }

func (b *books) look(at time.Duration, all []view) {
	by := map[string]view{}
	for _, v := range all {
		by[v.name] = v
	}
	since := (at - b.fault).Seconds()
	for _, v := range all {
		if !v.up {
			continue
		}
		few := 2*v.with(all) <= b.listed
		if few && b.fault > 0 {
			if majority := v.book.HasMajority(0); !majority && b.lost[v.name] == 0 {
				b.lost[v.name] = since
			} else if majority && since > gossip.MaxDetectionTime.Seconds() {
				b.minority = append(b.minority, v.name)
			}
		}
		v.book.ForEach(func(m book.Member) {
			p, target := between{v.name, m.Name}, by[m.Name]
			was, known := b.states[p]
			b.states[p] = m
			if known && (m.Incarnation < was.Incarnation || m.Incarnation == was.Incarnation && was.State.IsTerminal() && !m.State.IsTerminal()) {
				b.old = append(b.old, fmt.Sprintf("%s of %s: %d after %d", v.name, m.Name, m.Incarnation, was.Incarnation))
			}
			reached := target.up && target.side == v.side
			if known && reached && at > b.calm && m.State == book.Suspect && was.State == book.Alive {
				b.wrong++
			}
			if b.fault == 0 || reached || m.Name == v.name {
				return
			}
			if m.State != book.Alive && b.missed[p] == 0 {
				b.missed[p] = since
			}
			if m.State.IsTerminal() && b.gaveUp[p] == 0 && !few {
				b.gaveUp[p] = since
			}
		})
	}
}

// fields puts the times since a fault into a result: until those taken away were counted no more, until they were given up
// by those that may, and until a minority had no majority. Words of a great failure are lost to a few, who give up later.
func (b *books) fields(out *Result, as string, all []view) {
	var missed, gaveUp, lost []float64
	never, late := 0, 0
	for _, v := range all {
		with := v.with(all)
		for _, o := range all {
			if !v.up || o.up && o.side == v.side {
				continue
			}
			p := between{v.name, o.name}
			if _, known := b.states[p]; !known {
				continue // it had not heard of that one yet, and counted it never
			}
			if b.missed[p] == 0 {
				never++
				continue
			}
			missed = append(missed, b.missed[p])
			if b.gaveUp[p] > 0 {
				gaveUp = append(gaveUp, b.gaveUp[p])
			} else if 2*with > b.listed {
				late++
			}
		}
	}
	for _, at := range b.lost {
		lost = append(lost, at)
	}
	for name, times := range map[string][]float64{"uncounted": missed, "given_up": gaveUp, "minority_stops": lost} {
		if len(times) > 0 {
			out.Fields[as+"_"+name+"_median_s"] = round(median(times))
			out.Fields[as+"_"+name+"_max_s"] = round(slices.Max(times))
		}
	}
	out.Fields[as+"_given_up_later"] = late
	if never > 0 {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%s: %d ends or cuts never noticed", as, never))
	}
	if len(lost) > 0 {
		missed = lost // of the other side a majority may learn later: it goes on in any case
	}
	if len(missed) > 0 && slices.Max(missed) > (gossip.MaxDetectionTime+modelLook).Seconds() {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%s: counted for %.1f s", as, slices.Max(missed)))
	}
}

func (b *books) judge(out *Result, as string) {
	out.Fields[as+"_false_suspicions"] = b.wrong
	if len(b.minority) > 0 {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%s: minority reports a majority: %s", as, b.minority[0]))
	}
	if len(b.old) > 0 {
		out.MissedGoals = append(out.MissedGoals, as+": an old incarnation came back: "+b.old[0])
	}
}

// MeasureGossip measures how long instances take to notice cuts and ends, and what that costs: 3 and 30 on loopback, 300 in the
// model.
func MeasureGossip(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 58*time.Second)
	defer stop()
	out := Result{Fields: map[string]any{}}
	var mu sync.Mutex
	g, both := errgroup.WithContext(ctx)
	for _, n := range []int{3, 30} {
		g.Go(func() error {
			one := Result{Fields: map[string]any{}}
			err := gossipNodes(both, seed, n, &one)
			mu.Lock()
			defer mu.Unlock()
			out.MissedGoals = append(out.MissedGoals, one.MissedGoals...)
			maps.Copy(out.Fields, one.Fields)
			return err
		})
	}
	model := Result{Fields: map[string]any{}}
	g.Go(func() error {
		gossipModel(seed, 300, &model)
		return nil
	})
	if err := g.Wait(); err != nil {
		return Result{}, err
	}
	maps.Copy(out.Fields, model.Fields)
	out.MissedGoals = append(out.MissedGoals, model.MissedGoals...)
	slices.Sort(out.MissedGoals)
	return out, ctx.Err()
}

// gossipNodes plays real nodes on loopback: calm, a cut, its end, kills.
func gossipNodes(ctx context.Context, seed int64, n int, out *Result) error {
	as := fmt.Sprint("n", n)
	chance := rand.New(rand.NewSource(seed + int64(n)))
	var mu sync.Mutex
	sides := map[string]int{} // by address
	var nodes []*gossip.Node
	var all []view
	var names, addrs []string
	for i := range n {
		names, addrs = append(names, fmt.Sprintf("g%02d", i)), append(addrs, "")
	}
	for i := range n {
		node, err := gossip.Start(ctx, gossip.Options{
			Self:   book.Member{Name: names[i], Region: "lab", Zone: "lab-1", ProgramVersion: "lab"},
			Voters: names, ListenAddr: "127.0.0.1:0", JoinAddrs: slices.Clone(addrs[:min(3, i)]), Seed: seed*1000 + int64(i),
			ShouldDrop: func(to string) bool {
				mu.Lock()
				defer mu.Unlock()
				return sides[addrs[i]] != sides[to]
			},
		})
		if err != nil {
			return err
		}
		defer node.Close()
		mu.Lock()
		addrs[i] = node.Membership().Self().Addr
		mu.Unlock()
		nodes, all = append(nodes, node), append(all, view{name: names[i], up: true, book: node.Membership()})
	}
	b, began := newBooks(n), time.Now()
	watch := func(most time.Duration, enough func() bool) error {
		for until := time.Now().Add(most); time.Now().Before(until) && !enough(); {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(gossipLook):
			}
			b.look(time.Since(began), all)
		}
		return nil
	}
	never := func() bool { return false }
	whole := func() bool {
		for _, v := range all {
			if heard, of := v.book.CountAliveVoters(0); v.up && heard < of {
				return false
			}
		}
		return true
	}
	if err := watch(gossipBack, whole); err != nil {
		return err
	}
	if !whole() {
		out.MissedGoals = append(out.MissedGoals, as+": they never found each other")
		return nil
	}
	out.Fields[as+"_whole_s"] = round(time.Since(began).Seconds())
	sent := func() (sum int64) {
		for _, node := range nodes {
			sum += node.BytesSent()
		}
		return sum
	}
	if err := watch(gossipSettle, never); err != nil {
		return err
	}
	before, at := sent(), time.Now()
	if err := watch(gossipCalm, never); err != nil {
		return err
	}
	out.Fields[as+"_bytes_each_s"] = math.Round(float64(sent()-before) / time.Since(at).Seconds() / float64(n))

	order := chance.Perm(n)
	mu.Lock()
	for _, i := range order[:max(1, int(cutShare*float64(n)))] {
		sides[addrs[i]], all[i].side = 1, 1
	}
	mu.Unlock()
	b.begin(time.Since(began))
	before, at = sent(), time.Now()
	if err := watch(gossipCut, never); err != nil {
		return err
	}
	out.Fields[as+"_cut_bytes_each_s"] = math.Round(float64(sent()-before) / time.Since(at).Seconds() / float64(n))
	b.fields(out, as+"_cut", all)
	mu.Lock()
	for i := range all {
		sides[addrs[i]], all[i].side = 0, 0
	}
	mu.Unlock()
	b.healed(time.Since(began))
	at = time.Now()
	if err := watch(gossipBack, whole); err != nil {
		return err
	}
	out.Fields[as+"_back_s"] = round(time.Since(at).Seconds())
	if !whole() {
		out.MissedGoals = append(out.MissedGoals, as+": not whole again after the cut")
	}

	chance.Shuffle(n, func(i, j int) { order[i], order[j] = order[j], order[i] })
	b.begin(time.Since(began))
	for _, i := range order[:max(1, int(killShare*float64(n)))] {
		all[i].up = false
		nodes[i].Close()
	}
	if err := watch(gossipKilled, never); err != nil {
		return err
	}
	b.fields(out, as+"_kill", all)
	b.judge(out, as)
	return nil
}

// gossipModel plays the same with the model's clock and network.
func gossipModel(seed int64, n int, out *Result) {
	as := fmt.Sprint("model", n)
	w := swimsim.NewCluster(seed, n)
	w.PacketLoss = modelLoss
	sides := make([]int, n)
	w.IsPartitioned = func(from, to int) bool { return sides[from] != sides[to] }
	b, next := newBooks(n), int64(0)
	views := func() (all []view) {
		for _, i := range w.Instances {
			all = append(all, view{swimsim.InstanceName(i.Index), i.Running, sides[i.Index], i.Table})
		}
		return all
	}
	span := func(at int64) time.Duration { return time.Duration(at) * 100 * time.Microsecond }
	ticks := func(d time.Duration) int64 { return int64(d / (100 * time.Microsecond)) }
	w.OnStep = func(at int64, w *swimsim.Cluster) {
		if at >= next {
			next = at + ticks(modelLook)
			b.look(span(at), views())
		}
	}
	sent := func() (sum int64) {
		for _, i := range w.Instances {
			sum += i.BytesSent
		}
		return sum
	}
	w.Converge()
	w.RunUntil(ticks(modelSettle))
	before := sent()
	w.RunUntil(w.Now + ticks(gossipCalm))
	out.Fields[as+"_bytes_each_s"] = math.Round(float64(sent()-before) / gossipCalm.Seconds() / float64(n))
	chance := rand.New(rand.NewSource(seed))
	order := chance.Perm(n)
	for _, i := range order[:int(cutShare*float64(n))] {
		sides[i] = 1
	}
	b.begin(span(w.Now))
	before = sent()
	w.RunUntil(w.Now + ticks(gossipCut))
	out.Fields[as+"_cut_bytes_each_s"] = math.Round(float64(sent()-before) / gossipCut.Seconds() / float64(n))
	b.fields(out, as+"_cut", views())
	clear(sides)
	b.healed(span(w.Now))
	w.RunUntil(w.Now + ticks(gossipBack))
	for _, i := range w.Instances {
		if heard, of := i.Table.CountAliveVoters(w.Now); heard < of*95/100 {
			out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%s: %s hears %d of %d after the cut", as, i.NodeName, heard, of))
			break
		}
	}
	chance.Shuffle(n, func(i, j int) { order[i], order[j] = order[j], order[i] })
	b.begin(span(w.Now))
	for _, i := range order[:int(killShare*float64(n))] {
		w.Kill(i)
	}
	w.RunUntil(w.Now + ticks(gossipKilled))
	b.fields(out, as+"_kill", views())
	b.judge(out, as)
}
