package benchmark

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"chalkring/cluster/crdt"
	"chalkring/internal/clustertest"
)

const (
	ledgerEach     = 2       // processes in each of three regions
	ledgerSize     = 100_000 // names
	ledgerDiffer   = 5_000   // changes on the sides of a partition
	ledgerKills    = 100     // by SIGKILL, while they write
	ledgerOlder    = 6       // of them that come back with an older disk
	ledgerFlipped  = 4       // of them whose disk has a bit flipped meanwhile
	ledgerBatch    = 20      // changes of a client at once
	ledgerHeal     = 10 * time.Second
	ledgerMemory   = 400 << 20 // bytes of a process at full size
	ledgerStore    = "ledger.db"
	ledgerDiffMost = 0.25 // bytes that a process sends for the difference, against those of the list
)

type sharers struct {
	r     *clustertest.Cluster
	ctx   context.Context
	names []string

	mu   sync.Mutex
	live map[string]bool // told as written, and no delete of it was tried
	dead map[string]bool // told as deleted by one that held it
}

// call asks a process's own listener.
func (s *sharers) call(name, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(s.ctx, 20*time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.r.Addresses(name).Client+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1000))
		return fmt.Errorf("%s: %s", name, text)
	}
	return json.NewDecoder(res.Body).Decode(out)
}

func (s *sharers) state(name, how string) (out sharerState, err error) {
	err = s.call(name, "/state"+how, nil, &out)
	return out, err
}

// alike waits until these processes have the same digest.
func (s *sharers) alike(most time.Duration, names ...string) (took time.Duration, err error) {
	began := time.Now()
	for {
		var first uint64
		same := true
		for i, n := range names {
			st, err := s.state(n, "")
			if err != nil {
				return 0, err
			}
			if i == 0 {
				first = st.Digest
			}
			same = same && st.Digest == first
		}
		took = time.Since(began)
		if same {
			return took, nil
		}
		if took > most {
			return took, fmt.Errorf("not alike after %s: %s", most, s.told(names))
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-s.ctx.Done():
			return took, s.ctx.Err()
		}
	}
}

// told is the processes' own words, for a failure.
func (s *sharers) told(names []string) string {
	var b strings.Builder
	for _, n := range names {
		st, err := s.state(n, "")
		log := s.r.Log(n)
		fmt.Fprintf(&b, "\n%s %+v %v\n%s", n, st, err, log[max(0, len(log)-1500):])
	}
	return b.String()
}

// write has a process write what was never written and delete some of what stands, and notes what it told as done.
func (s *sharers) write(chance *rand.Rand, name, prefix string, puts, deletes int) error {
	var ops []sharerOp
	for range puts {
		v := fmt.Sprintf("%032x", chance.Uint64())
		ops = append(ops, sharerOp{fmt.Sprintf("%s%016x", prefix, chance.Uint64()), &v})
	}
	s.mu.Lock()
	some := make([]string, 0, deletes)
	for n := range s.live {
		if len(some) == deletes {
			break
		}
		if strings.HasPrefix(n, prefix) {
			some = append(some, n)
		}
	}
	for _, n := range some {
		delete(s.live, n) // tried: it may stand or not
		ops = append(ops, sharerOp{Name: n})
	}
	s.mu.Unlock()
	var done []bool
	if err := s.call(name, "/do", ops, &done); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, op := range ops {
		switch {
		case op.Value != nil:
			s.live[op.Name] = true
		case done[i]:
			s.dead[op.Name] = true
		}
	}
	return nil
}

// audit compares what each process shows with what was told as done.
func (s *sharers) audit(prefix string) (lost, back int, err error) {
	for _, n := range s.names {
		var all []string
		if err := s.call(n, "/all?"+prefix, nil, &all); err != nil {
			return 0, 0, err
		}
		there := map[string]bool{}
		for _, x := range all {
			there[x] = true
			if s.dead[x] {
				back++
			}
		}
		for x := range s.live {
			if strings.HasPrefix(x, prefix) && !there[x] {
				lost++
			}
		}
	}
	return lost, back, nil
}

func (s *sharers) cut(a, b string, cut bool) {
	s.r.EditLink(a, b, func(f *clustertest.LinkFault) { f.Cut = cut })
}

// MeasureLedger measures what instances share on real processes in three regions: killed while they write, their links cut and slow,
// disks put back and damaged; then at full size, with a partition between regions.
func MeasureLedger(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 58*time.Second)
	defer stop()
	dir, err := os.MkdirTemp("", "chalkring-benchmark")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	self, err := os.Executable()
	if err != nil {
		return Result{}, err
	}
	program := filepath.Join(dir, "sharer")
	if err := os.WriteFile(program, []byte(fmt.Sprintf("#!/bin/sh\nshift\nexec %q sharer \"$@\"\n", self)), 0o700); err != nil {
		return Result{}, err
	}
	r, err := startRig(ctx, seed, ledgerEach, func(w clustertest.InstanceAddresses) string {
		return fleetText(w, map[string]string{"store": ledgerStore})
	}, func(shape *clustertest.Config) {
		shape.ProgramPath, shape.Hosts, shape.Relayed = program, shape.Hosts[:clustertest.BlockCount], false
	})
	if err != nil {
		return Result{}, err
	}
	defer r.Close()
	s := &sharers{r: r, ctx: ctx, names: r.InstanceNames(), live: map[string]bool{}, dead: map[string]bool{}}
	out := Result{Fields: map[string]any{"processes": len(s.names)}}
	if err := s.kills(&out, seed); err != nil {
		return out, fmt.Errorf("kills: %w", err)
	}
	if err := s.full(&out, seed); err != nil {
		return out, fmt.Errorf("full size: %w", err)
	}
	return out, nil
}

// kills kills processes at drawn moments of their writes.
func (s *sharers) kills(out *Result, seed int64) error {
	began := time.Now()
	var left atomic.Int64
	left.Store(ledgerKills)
	var done, olds, flips atomic.Int64
	var g errgroup.Group
	for k, name := range s.names {
		g.Go(func() error {
			chance := rand.New(rand.NewSource(seed*100 + int64(k)))
			other := s.names[(k+1)%len(s.names)]
			for s.ctx.Err() == nil && left.Add(-1) >= 0 {
				s.cut(name, other, chance.Intn(3) == 0)
				var w sync.WaitGroup
				writing := rand.New(rand.NewSource(chance.Int63()))
				w.Go(func() { _ = s.write(writing, name, "k/", ledgerBatch, ledgerBatch/4) }) // one that is killed tells nothing
				time.Sleep(time.Duration(chance.Intn(40)) * time.Millisecond)
				if err := s.r.Kill(s.ctx, name); err != nil {
					return err
				}
				w.Wait()
				done.Add(1)
				if err := s.r.Start(s.ctx, name); err != nil {
					return err
				}
			}
			s.cut(name, other, false)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if _, err := s.alike(ledgerHeal, s.names...); err != nil {
		return err
	}
	// Disks: what only a lost disk held is lost with it, so that all are alike before it is taken.
	chance := rand.New(rand.NewSource(seed))
	for i := range ledgerOlder + ledgerFlipped {
		name := s.names[chance.Intn(len(s.names))]
		if err := s.r.CopyPath(name, ledgerStore, "older.db"); err != nil {
			return err
		}
		for _, n := range s.names {
			if err := s.write(chance, n, "k/", 5, 5); err != nil {
				return err
			}
		}
		if _, err := s.alike(ledgerHeal, s.names...); err != nil {
			return err
		}
		if err := s.r.Kill(s.ctx, name); err != nil {
			return err
		}
		if done.Add(1); i < ledgerOlder {
			olds.Add(1)
			if err := s.r.CopyPath(name, "older.db", ledgerStore); err != nil {
				return err
			}
		} else {
			flips.Add(1)
			path := filepath.Join(s.r.Addresses(name).Dir, ledgerStore)
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			text[chance.Intn(len(text))] ^= 1 << chance.Intn(8)
			if err := os.WriteFile(path, text, 0o600); err != nil {
				return err
			}
		}
		if err := s.r.Start(s.ctx, name); err != nil {
			return err
		}
		if err := s.write(chance, name, "k/", 5, 5); err != nil { // at once, with what it knows then
			return err
		}
	}
	took, err := s.alike(ledgerHeal, s.names...)
	if err != nil {
		return err
	}
	lost, back, err := s.audit("k/")
	if err != nil {
		return err
	}
	out.Fields["kills"], out.Fields["older_disks"], out.Fields["flipped_disks"] = done.Load(), olds.Load(), flips.Load()
	out.Fields["kills_lost"], out.Fields["kills_back"] = lost, back
	out.Fields["kills_written"], out.Fields["kills_deleted"] = len(s.live), len(s.dead)
	out.Fields["kills_alike_s"], out.Fields["kills_s"] = took.Seconds(), time.Since(began).Seconds()
	if lost > 0 {
		out.MissedGoals = append(out.MissedGoals, "entries lost after kills")
	}
	if back > 0 {
		out.MissedGoals = append(out.MissedGoals, "entries came back after kills")
	}
	return nil
}

func (s *sharers) sent() (bytes uint64, err error) {
	for _, n := range s.names {
		st, err := s.state(n, "")
		if err != nil {
			return 0, err
		}
		bytes += st.Stats.ExchangeBytesSent + st.Stats.UpdateBytesSent
	}
	return bytes, nil
}

// joined tells whether each hears all others.
func (s *sharers) joined() (bool, error) {
	for _, n := range s.names {
		if st, err := s.state(n, ""); err != nil || st.Alive != len(s.names)-1 {
			return false, err
		}
	}
	return true, nil
}

// full brings the list to its full size, splits the regions, changes both sides, and heals them.
func (s *sharers) full(out *Result, seed int64) error {
	chance := rand.New(rand.NewSource(seed + 1))
	began := time.Now()
	// All are alike: one is filled alone, and its disk is the others' too, so that the fill does not load the machine.
	for _, n := range s.names[1:] {
		if err := s.r.Kill(s.ctx, n); err != nil {
			return err
		}
	}
	const step = 4000
	for range ledgerSize / step {
		if err := s.write(chance, s.names[0], "f/", step*95/100, 0); err != nil {
			return err
		}
	}
	if err := s.r.Kill(s.ctx, s.names[0]); err != nil {
		return err
	}
	disk, err := os.ReadFile(filepath.Join(s.r.Addresses(s.names[0]).Dir, ledgerStore))
	if err != nil {
		return err
	}
	for i, n := range s.names {
		if i > 0 {
			if err := os.WriteFile(filepath.Join(s.r.Addresses(n).Dir, ledgerStore), disk, 0o600); err != nil {
				return err
			}
		}
		if err := s.r.Start(s.ctx, n); err != nil {
			return err
		}
	}
	out.Fields["fill_s"], out.Fields["disk_mb"] = time.Since(began).Seconds(), len(disk)>>20
	if _, err := s.alike(ledgerHeal, s.names...); err != nil {
		return err
	}
	for joined := false; !joined; { // else the partition is one of strangers
		if joined, err = s.joined(); err != nil {
			return err
		}
		if err := s.ctx.Err(); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	one, other := sides(s.r, regions[0])
	split := func(cut bool) {
		for _, a := range one {
			for _, b := range other {
				s.cut(a, b, cut)
				s.cut(b, a, cut)
			}
		}
	}
	split(true)
	for _, side := range [][]string{one, other} {
		for i, n := range side {
			part := ledgerDiffer / 2 / len(side)
			if i == 0 {
				part += ledgerDiffer / 2 % len(side)
			}
			if err := s.write(chance, n, "f/", part/2, part-part/2); err != nil {
				return err
			}
		}
	}
	for _, side := range [][]string{one, other} {
		if _, err := s.alike(10*time.Second, side...); err != nil {
			return err
		}
	}
	start, err := s.sent()
	if err != nil {
		return err
	}
	split(false)
	healed := time.Now()
	var seen time.Duration // until each hears all others again
	var g sync.WaitGroup
	g.Go(func() {
		for seen == 0 && s.ctx.Err() == nil && time.Since(healed) < 2*ledgerHeal {
			if all, err := s.joined(); err == nil && all {
				seen = time.Since(healed)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	took, err := s.alike(2*ledgerHeal, s.names...)
	if g.Wait(); err != nil {
		return err
	}
	end, err := s.sent()
	if err != nil {
		return err
	}
	lost, back, err := s.audit("f/")
	if err != nil {
		return err
	}
	st, err := s.state(s.names[0], "?memory")
	if err != nil {
		return err
	}
	alone, list, err := ledgerAlone(st.Stats.LiveEntries)
	if err != nil {
		return err
	}
	n := float64(len(s.names))
	perDiff := float64(end-start) / n
	out.Fields["names"], out.Fields["tombstones"] = st.Stats.LiveEntries, st.Stats.Tombstones
	out.Fields["lost"], out.Fields["back"] = lost, back
	out.Fields["heal_s"], out.Fields["heal_members_s"] = took.Seconds(), seen.Seconds()
	out.Fields["list_bytes"], out.Fields["difference_bytes_each"] = list, int64(perDiff)
	out.Fields["difference_share"] = perDiff / float64(list)
	out.Fields["rss_mb"], out.Fields["heap_mb"] = st.RSS>>20, st.Heap>>20
	out.Fields["alone_mb"] = alone >> 20
	for bad, what := range map[string]bool{
		"entries lost": lost > 0, "entries came back": back > 0, "healed too late": took > ledgerHeal,
		"the difference costs too many bytes": perDiff > ledgerDiffMost*float64(list), "too much memory": st.RSS > ledgerMemory,
	} {
		if what {
			out.MissedGoals = append(out.MissedGoals, bad)
		}
	}
	slices.Sort(out.MissedGoals)
	return nil
}

// ledgerAlone is what a ledger of so many names holds alone, and what they are as messages, both in bytes.
func ledgerAlone(size int) (held, sent int64, err error) {
	before := heap()
	l := crdt.NewMap("east-0#1796178064505317467")
	names := make([]string, 0, size)
	for i := range size {
		name := fmt.Sprintf("f/%016x", i)
		if _, err := l.Put(name, []byte(fmt.Sprintf("%032x", i))); err != nil {
			return 0, 0, err
		}
		names = append(names, name)
	}
	held = heap() - before - int64(size)*40 // the names' list here
	for _, b := range l.BuildBatches(true, names) {
		text, err := cbor.Marshal(b)
		if err != nil {
			return 0, 0, err
		}
		sent += int64(len(text))
	}
	return held, sent, nil
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
