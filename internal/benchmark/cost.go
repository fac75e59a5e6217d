package benchmark

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkring/coordinator/plan"

	"chalkring/cluster/peerprotocol"
	"chalkring/cluster/peerreport"
	"chalkring/coordinator"
	"chalkring/internal/fake"
	"chalkring/internal/scheduler"
	"chalkring/opensearch/frontend"
)

const (
	memoryRate   = 2000.0           // searches a second
	memoryFor    = 25 * time.Second // as long as it took to see the limit passed
	memoryWait   = time.Minute      // that clients wait
	memoryMB     = 192              // the plan's limit
	costRate     = 1200.0           // searches a second: over half of what one core bears
	costFor      = 4 * time.Second  // of each stretch, with a peer asking and without in turn
	costTurns    = 4                // stretches of each
	costMost     = 0.02             // of the searches' CPU time that a peer asking without pause may cost
	valueBytes   = 2000             // of an answer's value, in the memory measurement
	dueToStart   = 10 * time.Second // for a co-ordinator's process to serve
	askWithout   = time.Millisecond // between two askings of a peer that does not pause
	pageSize     = 4096
	clockTicks   = 100 // a second, of the system's CPU times
	nodeInstance = "BENCHMARK_PEER"
	nodeFront    = "BENCHMARK_FRONT"
	nodeFloor    = "BENCHMARK_FLOOR"   // hosts of the plain program that is to run in the co-ordinator's place
	nodeCounts   = "BENCHMARK_COUNTS"  // count what is asked of sockets
	nodeOwners   = "BENCHMARK_OWNERS"  // in the process
	nodeCores    = "BENCHMARK_CORES"   // that it runs on
	nodeProfile  = "BENCHMARK_PROFILE" // a file for the CPU profile; that of allocations is beside it
)

// process is a co-ordinator in a process of its own, so that its memory and CPU time are its own.
type process struct {
	cmd   *exec.Cmd
	addr  string
	peer  string // where it answers askers
	front string // where it speaks the API
	in    io.WriteCloser
	out   *bufio.Reader
}

// launch starts a coordinator for a fleet, as a process of the benchmark program.
func (f *fleet) launch(ctx context.Context, seed int64, more ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "chalkring-benchmark")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	p := &process{}
	for _, addr := range []*string{&p.addr, &p.peer, &p.front} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*addr = ln.Addr().String()
		ln.Close()
	}
	facts, _ := json.Marshal(settings(1))
	path := filepath.Join(dir, "plan.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"%016x",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":1024},"known":%s,"settings":%s}`, p.addr, f.list.Listener.Addr(),
		uint64(seed), memoryMB, f.list.KnownEndpoints(), facts), 0o600); err != nil {
		return nil, err
	}
	p.cmd = exec.CommandContext(ctx, self, "node")
	p.cmd.Env = append(append(os.Environ(), "GW_CONFIG="+path, nodeInstance+"="+p.peer, nodeFront+"="+p.front, "GW_NAME=",
		"GW_LISTEN=", "GW_DISCOVERY="), more...)
	p.cmd.Cancel = func() error { return p.cmd.Process.Signal(syscall.SIGTERM) }
	p.cmd.WaitDelay = 10 * time.Second
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewReader(out)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	for until := time.Now().Add(dueToStart); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", p.addr); err == nil {
			conn.Close()
			return p, nil
		}
	}
	return nil, errors.Join(errors.New("the co-ordinator's process does not serve"), p.end())
}

// launchFloor starts the plain program in the co-ordinator's place.
func (f *fleet) launchFloor(ctx context.Context, seed int64) (*process, error) {
	var hosts []string
	for i := range sets {
		hosts = append(hosts, f.entries[i].Addr)
	}
	return f.launch(ctx, seed, nodeFloor+"="+strings.Join(hosts, ","))
}

// RunCoordinator is the co-ordinator's process: the plan that GW_CONFIG names, and an answering peer.
func RunCoordinator(ctx context.Context) error {
	plan, err := plan.Read(os.Getenv)
	if err != nil {
		return err
	}
	plan.ApplyRuntimeLimits()
	ln, err := net.Listen("tcp", plan.Listen)
	if err != nil {
		return err
	}
	go tellCounts()
	dial := (&net.Dialer{}).DialContext
	if os.Getenv(nodeCounts) != "" {
		ln, dial = countingListener{ln}, countingDial
	}
	if hosts := os.Getenv(nodeFloor); hosts != "" {
		return ServeBaseline(ctx, ln, strings.Split(hosts, ","))
	}
	more := &coordinator.PeerOptions{AllowedPeers: []string{"asker"}, Budgets: map[string]scheduler.Budget{"answer": {MaxConcurrent: 4}}}
	if more.Listener, err = net.Listen("tcp", os.Getenv(nodeInstance)); err != nil {
		return err
	}
	front := &frontend.Server{Indices: []frontend.Index{{Name: "members", SearchType: fullMatch}}}
	for b := range plan.BlockCount() {
		front.Indices[0].Blocks = append(front.Indices[0].Blocks, b)
	}
	if front.Listener, err = net.Listen("tcp", os.Getenv(nodeFront)); err != nil {
		return err
	}
	if path := os.Getenv(nodeProfile); path != "" { // for those who look where a search's time goes
		stop, err := profile(path)
		if err != nil {
			return err
		}
		defer stop()
	}
	owners, _ := strconv.Atoi(os.Getenv(nodeOwners))
	if cores, err := strconv.Atoi(os.Getenv(nodeCores)); err == nil {
		runtime.GOMAXPROCS(cores)
	}
	return coordinator.ServeSharded(ctx, plan, coordinator.Options{
		Frontends: []coordinator.Frontend{front},
		HostKinds: map[string]coordinator.HostKind{searchKind: {Index: "members"}}, Listener: ln, Dial: dial,
		Clock: coordinator.SystemClock{}, Logger: coordinator.NewLogger(io.Discard, false, slog.LevelError), Peers: more,
	}, owners)
}

// tellCounts answers each line asked for with the counts so far.
func tellCounts() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		text, _ := json.Marshal(counted{
			float64(m.Mallocs), float64(m.TotalAlloc), float64(sockets.reads.Load()),
			float64(sockets.writes.Load()), float64(sockets.copied.Load()),
		})
		fmt.Println(string(text))
	}
}

func profile(path string) (stop func(), err error) {
	cpu, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(cpu); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		cpu.Close()
		if heap, err := os.Create(path + ".allocs"); err == nil {
			pprof.Lookup("allocs").WriteTo(heap, 0)
			heap.Close()
		}
	}, nil
}

func (p *process) end() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	return p.cmd.Wait()
}

// mallocs is how many allocations the process has made.
func (p *process) mallocs() float64 {
	return p.counts().Allocs
}

// resident is the process's memory in MB.
func (p *process) resident() float64 { return resident(p.cmd.Process.Pid) / (1 << 20) }

// resident is a process's memory in bytes, 0 where it is not told.
func resident(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(text))
	if err != nil || len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * pageSize
}

// cpu is the process's CPU time in seconds: of its threads to the nanosecond where that is told, else in clock ticks.
func (p *process) cpu() float64 {
	total := 0.0
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	for _, task := range tasks {
		text, _ := os.ReadFile(task)
		ran, _, _ := strings.Cut(string(text), " ")
		ns, _ := strconv.ParseFloat(ran, 64)
		total += ns / 1e9
	}
	if total > 0 {
		return total
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, rest, ok := bytes.Cut(text, []byte(") "))
	f := strings.Fields(string(rest))
	if err != nil || !ok || len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / clockTicks
}

// MeasureMemory measures the resident memory of one co-ordinator at 2,000 searches a second whose clients wait a minute:
// it follows what is open, not rate times patience, and stays under the plan's limit.
func MeasureMemory(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 55*time.Second)
	defer stop()
	value := strings.Repeat("v", valueBytes)
	f, err := newFleet(16, func(i int) func(p fake.ShardRequest) {
		wait := uniform(seed+int64(i), 2*time.Millisecond, 4*time.Millisecond)
		return func(p fake.ShardRequest) {
			time.AfterFunc(wait(), func() { p.Reply("good", "1", value) })
		}
	})
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	p, err := f.launch(ctx, seed)
	if err != nil {
		return Result{}, err
	}
	most, ended := 0.0, make(chan []fake.SearchResult)
	go func() {
		ended <- fake.PlaySearches(ctx, p.addr, schedule(seed, "m", memoryRate, memoryFor, memoryWait))
	}()
	var got []fake.SearchResult
	for got == nil {
		select {
		case got = <-ended:
		case <-time.After(100 * time.Millisecond):
			most = max(most, p.resident())
		}
	}
	if err := p.end(); err != nil {
		return Result{}, err
	}
	answered := 0
	for _, r := range got {
		if r.Status == 200 {
			answered++
		}
	}
	out := Result{Fields: map[string]any{
		"searches": len(got), "answered": answered, "resident_mb": round(most),
		"limit_mb": memoryMB, "p99_ms": round(1000 * quantile(got, 0.99).Seconds()),
	}}
	if most > memoryMB {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%.0f MB resident, over the limit of %d MB", most, memoryMB))
	}
	return out, ctx.Err()
}

// MeasurePeerCost measures what a peer that asks without pause costs the searches of the one it asks: the CPU time of its
// process a search, with the peer and without in turn.
func MeasurePeerCost(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 55*time.Second)
	defer stop()
	f, err := soundFleet(64, seed)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	p, err := f.launch(ctx, seed)
	if err != nil {
		return Result{}, err
	}
	asked, answered := 0, 0
	stretch := func(i int, asking bool) (cpu, p50 float64, whole int) {
		ask, enough := context.WithCancel(ctx)
		var g sync.WaitGroup
		if asking {
			g.Go(func() {
				for ask.Err() == nil {
					how, _, _ := (&peerprotocol.Client{
						PeerName: "n0", Addr: p.peer, LocalName: "asker", Dial: (&net.Dialer{}).DialContext,
						OnHeader: func(peerreport.ReportHeader) error { return nil }, OnObservations: func([]peerreport.Observation) error { return nil },
					}).FetchReport(ask)
					if asked++; how == peerreport.OutcomeReceived {
						answered++
					}
					time.Sleep(askWithout)
				}
			})
		}
		before := p.cpu()
		got := fake.PlaySearches(ctx, p.addr, schedule(seed+int64(i), fmt.Sprintf("c%d-%t", i, asking), costRate, costFor, labPatience))
		cpu = p.cpu() - before
		enough()
		g.Wait()
		for _, r := range got {
			if r.Status == 200 {
				whole++
			}
		}
		return cpu, quantile(got, 0.5).Seconds(), whole
	}
	stretch(-1, false)
	var with, without, p50With, p50Without []float64
	for i := range costTurns {
		for _, asking := range []bool{i%2 == 0, i%2 == 1} {
			cpu, p50, whole := stretch(i, asking)
			if each := cpu / float64(max(1, whole)); asking {
				with, p50With = append(with, each), append(p50With, p50)
			} else {
				without, p50Without = append(without, each), append(p50Without, p50)
			}
		}
	}
	if err := p.end(); err != nil {
		return Result{}, err
	}
	more := mean(with)/mean(without) - 1
	out := Result{Fields: map[string]any{
		"cpu_us_alone": round(1e6 * mean(without)), "cpu_us_asked": round(1e6 * mean(with)),
		"more": round(more), "p50_ms_alone": round(1000 * median(p50Without)), "p50_ms_asked": round(1000 * median(p50With)),
		"askings": asked, "answered": answered,
	}}
	if more > costMost {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("a search costs %.1f%% more CPU time with a peer asking", 100*more))
	}
	return out, ctx.Err()
}
