// Package clustertest runs several processes of the program on loopback and breaks what is between them. Each instance has its
// plan, its installation file and a folder; hosts, discovery and clients are stand-ins in the rig's own process. Every
// way from an instance to another, and where wanted to hosts and discovery, leads through a relay whose faults a
// schedule sets, and an auditor judges by what hosts and clients saw. New starts it, Close ends it.
//
// On a relay a connect always stands: through a cut it hears nothing until the cut is over, to an instance that is gone
// it is reset. Bytes that a cut holds back come through once it is over, as a kernel would send them again.
package clustertest

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chalkring/internal/fake"
)

// Instance is one instance.
type Instance struct {
	Name, Region, Zone string
	ProgramPath        string // path; the shape's where it is empty
}

// Host is one stand-in host; Do answers its parts, after 2 ms well where it is nil.
type Host struct {
	ID, Zone string
	Cell     int
	Handler  func(p fake.ShardRequest)
}

// Config is what a rig is made of.
type Config struct {
	Seed             int64
	ProgramPath      string // path of the built program; Program's without flags where it is empty
	Instances        []Instance
	Hosts            []Host
	Relayed          bool                             // the ways to hosts and discovery lead through relays too
	External         map[string]string                // further addresses that instances reach through relays, by name
	DiscoveryAddress string                           // address of discovery; the rig's own, which Tell changes, where it is empty
	Settings         map[string]any                   // of the plan; Settings(...) where nil
	Limits           Limits                           // of the plan; defaultLimits where zero
	InstallationFile func(w InstanceAddresses) string // text of the installation file; none is given to the program where nil or empty
}

// Peer is another instance as one reaches it.
type Peer struct {
	Instance
	Fleet, FleetRelay string // its advertised address for TCP and UDP, and the relay to it
	PeerRelay         string // the relay to its Peer address
}

// InstanceAddresses is what an instance's installation file may name.
type InstanceAddresses struct {
	Instance
	Dir                 string // its folder, which restarts leave as it is
	Client, Fleet, Peer string // where it listens
	Peers               []Peer
	External            map[string]string // relays
}

// RelayAddresses is the installation's fleet.via: the relay for each advertised address.
func (w InstanceAddresses) RelayAddresses() map[string]string {
	via := map[string]string{}
	for _, o := range w.Peers {
		via[o.Fleet] = o.FleetRelay
	}
	return via
}

type instance struct {
	wired InstanceAddresses
	out   *output
	list  *fake.DiscoveryServer
	zoned []fake.Endpoint // the list as it reaches its hosts
	run   *process        // its last life
	spell *down           // since it was ended or stopped
}

// down is a time in which an instance was not there to answer.
type down struct {
	name     string
	from, to time.Time // to is zero while it lasts
	asked    bool      // by SIGTERM: what it had taken is owed an answer
}

// Cluster is what runs. Its methods are safe for all.
type Cluster struct {
	Audit Audit

	once  sync.Once
	shape Config
	net   *network
	dir   string
	hosts []*fake.Host

	lag atomic.Int64 // nanoseconds by which this process was held up at the most

	mu    sync.Mutex
	all   map[string]*instance
	downs []*down
}

// feelLag measures how busy the machine is: bounds of time are wider by it.
func (r *Cluster) feelLag() {
	for began := time.Now(); ; began = time.Now() {
		select {
		case <-r.net.done:
			return
		case <-time.After(lagEach):
		}
		if late := int64(time.Since(began) - lagEach); late > r.lag.Load() {
			r.lag.Store(late)
		}
	}
}

const lagEach = 10 * time.Millisecond

// New wires a rig and starts all its instances; on an error nothing of it is left.
func New(ctx context.Context, shape Config) (_ *Cluster, err error) {
	r := &Cluster{shape: shape, net: newNetwork(shape.Seed), all: map[string]*instance{}}
	r.net.all.Go(r.feelLag)
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.shape.ProgramPath == "" {
		if r.shape.ProgramPath, err = BuildProgram(ctx); err != nil {
			return nil, err
		}
	}
	if r.dir, err = os.MkdirTemp("", "chalkring-run-"); err != nil {
		return nil, err
	}
	if err = r.wire(); err != nil {
		return nil, err
	}
	var g sync.WaitGroup
	faults := make([]error, len(shape.Instances))
	for i, p := range shape.Instances {
		g.Go(func() { faults[i] = r.Start(ctx, p.Name) })
	}
	g.Wait()
	return r, errors.Join(faults...)
}

func (r *Cluster) wire() error {
	zones := map[string]bool{}
	var entries []fake.Endpoint
	for _, h := range r.shape.Hosts {
		do := h.Handler
		if do == nil {
			do = func(p fake.ShardRequest) { time.AfterFunc(2*time.Millisecond, p.ReplyGood) }
		}
		host, err := fake.NewHost(h.ID, h.Cell, false, func(p fake.ShardRequest) {
			r.Audit.took(h.ID, p)
			do(p)
		})
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, host)
		zones[h.Zone] = true
		entries = append(entries, fake.Endpoint{
			ID: h.ID, Addr: host.Listener.Addr().String(), Zone: h.Zone, Kind: "std",
			State: "up", Cell: h.Cell,
		})
	}
	r.Audit.moved(entries)
	if r.shape.Settings == nil {
		r.shape.Settings = DefaultSettings(len(r.shape.Instances), slices.Sorted(maps.Keys(zones)))
	}
	for _, p := range r.shape.Instances {
		i := &instance{
			wired: InstanceAddresses{Instance: p, Dir: filepath.Join(r.dir, p.Name), External: map[string]string{}},
			out:   &output{more: make(chan struct{})},
		}
		r.all[p.Name] = i
		for _, at := range []*string{&i.wired.Client, &i.wired.Fleet, &i.wired.Peer} {
			var err error
			if *at, err = port(); err != nil {
				return err
			}
		}
		if err := os.Mkdir(i.wired.Dir, 0o700); err != nil {
			return err
		}
		i.zoned = slices.Clone(entries)
		for k := range i.zoned {
			if r.shape.Relayed {
				via, err := r.net.relay(p.Name, i.zoned[k].ID, i.zoned[k].Addr, false)
				if err != nil {
					return err
				}
				i.zoned[k].Addr = via
			}
		}
		var err error
		if i.list, err = fake.NewDiscoveryServer(i.zoned); err != nil {
			return err
		}
		for name, addr := range r.shape.External {
			if i.wired.External[name], err = r.net.relay(p.Name, name, addr, false); err != nil {
				return err
			}
		}
	}
	for _, p := range r.shape.Instances {
		for _, q := range r.shape.Instances {
			if p.Name == q.Name {
				continue
			}
			from, to := r.all[p.Name], r.all[q.Name]
			fleet, err := r.net.relay(p.Name, q.Name, to.wired.Fleet, true)
			if err != nil {
				return err
			}
			peer, err := r.net.relay(p.Name, q.Name, to.wired.Peer, false)
			if err != nil {
				return err
			}
			from.wired.Peers = append(from.wired.Peers, Peer{q, to.wired.Fleet, fleet, peer})
		}
	}
	for k, p := range r.shape.Instances {
		if err := r.plan(k, r.all[p.Name]); err != nil {
			return err
		}
	}
	return nil
}

// plan writes an instance's files.
func (r *Cluster) plan(k int, i *instance) error {
	list := cmp.Or(r.shape.DiscoveryAddress, i.list.Listener.Addr().String())
	if r.shape.Relayed {
		var err error
		if list, err = r.net.relay(i.wired.Name, "list", list, false); err != nil {
			return err
		}
	}
	settings, err := json.Marshal(r.shape.Settings)
	if err != nil {
		return err
	}
	limits := cmp.Or(r.shape.Limits, defaultLimits)
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":%g,"memory_mb":%d,`+
		`"sockets":%d},"known":%s,"settings":%s}`, i.wired.Name, i.wired.Client, list, uint64(r.shape.Seed)<<8+uint64(k)+1,
		limits.Cores, limits.MemoryMB, limits.Sockets, i.list.KnownEndpoints(), settings)
	if err := r.WriteFile(i.wired.Name, "plan.json", text); err != nil || r.shape.InstallationFile == nil {
		return err
	}
	if text = r.shape.InstallationFile(i.wired); text == "" {
		return nil
	}
	return r.WriteFile(i.wired.Name, "installation.yaml", text)
}

// DefaultSettings are those of a plan: eight blocks, each in two of eight cells, two types of query, tenants acme and other.
func DefaultSettings(instances int, zones []string) map[string]any {
	class := func(name string) map[string]any {
		return map[string]any{"Name": name, "Aim": 1000.0, "Deadline": 3000.0, "Effect": "retryable", "LateShare": 0.5}
	}
	return map[string]any{
		"Family": "fanout", "Discovery": "subscribe", "Balancers": instances, "Tick": 5.0,
		"FailureDomains": zones, "MachineTypes": []string{"std"},
		"Classes": []any{class("quick-picks"), class("full-match")},
		"Tenants": []any{map[string]any{"Name": "acme", "QuotaPerS": 1000.0}, map[string]any{"Name": "other", "QuotaPerS": 1000.0}},
		"Specifics": map[string]any{
			"Sets": BlockCount, "Reach": 2, "Ranges": BlockCount, "PerCall": 1,
			"NeedByClass": []float64{0.75, 1}, "ClassFloor": []float64{0.75, 1}, "FollowUp": []int{0, 0},
		},
		"Permissions": map[string]any{
			"MaxAttempts": 3, "ConnIdle": 60000.0, "DialTimeout": 250.0, "StreamsPerConn": 32,
			"SecondCopies": true, "Cancelling": true, "RetryAfter": true, "MaxRetryAfter": 500.0,
		},
		"Safety": map[string]any{
			"Cold": 10000.0, "ColdFrom": 0.3, "FallMultiple": 3.0, "Fall": 2000.0,
			"DrainGrace": 2000.0, "AskWithin": 10000.0,
		},
	}
}

// BlockCount is how many there are under Settings.
const BlockCount = 8

func (r *Cluster) named(name string) (*instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.all[name]; i != nil {
		return i, nil
	}
	return nil, fmt.Errorf("no instance %q", name)
}

// last is an instance with its last life, nil before the first.
func (r *Cluster) last(name string) (*instance, *process, error) {
	i, err := r.named(name)
	if err != nil {
		return nil, nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return i, i.run, nil
}

// Addresses tells how an instance stands.
func (r *Cluster) Addresses(name string) InstanceAddresses {
	if i, err := r.named(name); err == nil {
		return i.wired
	}
	return InstanceAddresses{}
}

// Start starts an instance that is not running, and waits until it serves.
func (r *Cluster) Start(ctx context.Context, name string) error {
	if err := r.Launch(name); err != nil {
		return err
	}
	return r.WaitServing(ctx, name)
}

// Launch starts an instance without waiting for it, once its ports are free.
func (r *Cluster) Launch(name string) error {
	i, err := r.named(name)
	if err != nil {
		return err
	}
	var args []string
	file := filepath.Join(i.wired.Dir, "installation.yaml")
	if _, err := os.Stat(file); err == nil {
		args = []string{"serve", "--installation", file}
	}
	path := i.wired.ProgramPath
	if path == "" {
		path = r.shape.ProgramPath
	}
	if _, run, _ := r.last(name); run == nil || run.over() {
		if err := letGo(portWithin, i.wired.Client, i.wired.Fleet, i.wired.Peer); err != nil {
			return fmt.Errorf("%s: %w\n%s", name, err, r.Log(name))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.run != nil && !i.run.over() {
		return fmt.Errorf("%s is running", name)
	}
	i.out.Write([]byte(lifeMark))
	i.run, err = launch(path, args, []string{
		"GW_CONFIG=" + filepath.Join(i.wired.Dir, "plan.json"), "GW_NAME=", "GW_LISTEN=",
		"GW_DISCOVERY=",
	}, i.wired.Dir, i.out)
	return err
}

// WaitServing waits until /healthz of an instance says that it serves.
func (r *Cluster) WaitServing(ctx context.Context, name string) error {
	i, err := r.named(name)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, upWithin)
	defer stop()
	for {
		if status, _ := r.GetHealth(ctx, name); status == http.StatusOK {
			r.up(i)
			return nil
		}
		r.mu.Lock()
		run := i.run
		r.mu.Unlock()
		select {
		case <-run.ended:
			return fmt.Errorf("%s ended at its start: %w\n%s", name, run.err, r.Log(name))
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve: %w\n%s", name, ctx.Err(), r.Log(name))
		case <-time.After(upEach):
		}
	}
}

// GetHealth asks /healthz of an instance and gives the status.
func (r *Cluster) GetHealth(ctx context.Context, name string) (int, error) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	status, _, err := r.Get(ctx, name, "/healthz")
	return status, err
}

// Get asks a path of an instance, on a connection of its own, and gives the status and what came with it.
func (r *Cluster) Get(ctx context.Context, name, path string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Addresses(name).Client+path, nil)
	if err != nil {
		return 0, nil, err
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

// fell notes that an instance is not there from now on, up that it is again.
func (r *Cluster) fell(i *instance, asked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.spell != nil {
		i.spell.asked = i.spell.asked && asked
		return
	}
	i.spell = &down{name: i.wired.Name, from: time.Now(), asked: asked}
	r.downs = append(r.downs, i.spell)
}

func (r *Cluster) up(i *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.spell != nil {
		i.spell.to, i.spell = time.Now(), nil
	}
}

// Signal sends a signal to an instance. After SIGSTOP it counts as down until SIGCONT, after SIGKILL and SIGTERM until it
// serves again.
func (r *Cluster) Signal(name string, s syscall.Signal) error {
	i, run, err := r.last(name)
	if err != nil {
		return err
	}
	if run == nil {
		return os.ErrProcessDone
	}
	if s == syscall.SIGSTOP || s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.fell(i, s == syscall.SIGTERM)
	}
	if err := run.signal(s, s == syscall.SIGKILL); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if s == syscall.SIGCONT {
		r.up(i)
	}
	return nil
}

// Kill ends an instance by SIGKILL, with all that it started, and waits until it is gone.
func (r *Cluster) Kill(ctx context.Context, name string) error {
	if err := r.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	return r.WaitExit(ctx, name)
}

// Terminate ends an instance by SIGTERM; the error tells that it did not end, or not with 0.
func (r *Cluster) Terminate(ctx context.Context, name string) error {
	if err := r.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	return r.WaitExit(ctx, name)
}

// WaitExit waits for an instance's end. One that was killed has ended well by that.
func (r *Cluster) WaitExit(ctx context.Context, name string) error {
	_, run, err := r.last(name)
	if err != nil {
		return err
	}
	if err := run.wait(ctx, endMost); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if state := run.cmd.ProcessState; state.ExitCode() > 0 {
		return fmt.Errorf("%s: %w", name, run.err)
	}
	return nil
}

// PID is that of an instance's last life.
func (r *Cluster) PID(name string) int {
	_, run, err := r.last(name)
	if err != nil {
		return 0
	}
	return run.cmd.Process.Pid
}

// Log is the newest of what an instance wrote, all lives together.
func (r *Cluster) Log(name string) string {
	i, err := r.named(name)
	if err != nil {
		return ""
	}
	text, _ := i.out.seen()
	return text
}

// LogSinceLaunch is what an instance wrote since it was launched last; empty where that is so long ago that it is not kept.
func (r *Cluster) LogSinceLaunch(name string) string {
	log := r.Log(name)
	at := strings.LastIndex(log, lifeMark)
	if at < 0 {
		return ""
	}
	return log[at+len(lifeMark):]
}

// WaitLogged waits until an instance's output has so many lines that hold the text.
func (r *Cluster) WaitLogged(ctx context.Context, name, text string, times int) error {
	i, err := r.named(name)
	if err != nil {
		return err
	}
	for {
		all, more := i.out.seen()
		if strings.Count(all, text) >= times {
			return nil
		}
		select {
		case <-more:
		case <-ctx.Done():
			return fmt.Errorf("%s did not log %q %d times: %w\n%s", name, text, times, ctx.Err(), all)
		}
	}
}

// WriteFile puts a file into an instance's folder, whole at once.
func (r *Cluster) WriteFile(name, file, text string) error {
	path := filepath.Join(r.Addresses(name).Dir, file)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// ReplaceInFile puts a text in the place of another, wherever it stands in a file of an instance's folder.
func (r *Cluster) ReplaceInFile(name, file, old, text string) error {
	was, err := os.ReadFile(filepath.Join(r.Addresses(name).Dir, file))
	if err != nil {
		return err
	}
	return r.WriteFile(name, file, strings.ReplaceAll(string(was), old, text))
}

// CopyPath puts what lies under one path of an instance's folder in the place of another: an older store is taken back
// so, after it was kept so.
func (r *Cluster) CopyPath(name, from, to string) error {
	dir := r.Addresses(name).Dir
	from, to = filepath.Join(dir, from), filepath.Join(dir, to)
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	if at, err := os.Stat(from); err != nil {
		return err
	} else if at.IsDir() {
		return os.CopyFS(to, os.DirFS(from))
	}
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, text, 0o600)
}

// Endpoints is what discovery tells an instance.
func (r *Cluster) Endpoints(name string) []fake.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all[name].zoned)
}

// EditEndpoints has discovery tell a list that edit makes of the one there is; addresses are left alone.
func (r *Cluster) EditEndpoints(edit func(e *fake.Endpoint)) {
	r.changeEndpoints(func(entries []fake.Endpoint) []fake.Endpoint {
		for n := range entries {
			edit(&entries[n])
		}
		return entries
	})
}

// LeaveOutEndpoints takes entries out of the lists that discovery sends.
func (r *Cluster) LeaveOutEndpoints(isLeftOut func(e fake.Endpoint) bool) {
	r.changeEndpoints(func(entries []fake.Endpoint) []fake.Endpoint { return slices.DeleteFunc(entries, isLeftOut) })
}

func (r *Cluster) changeEndpoints(change func(entries []fake.Endpoint) []fake.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, p := range r.shape.Instances {
		i := r.all[p.Name]
		i.zoned = change(slices.Clone(i.zoned))
		if k == 0 {
			r.Audit.moved(i.zoned)
		}
		i.list.SetEndpoints(i.zoned)
	}
}

// EditLink changes what the link from one to another does one way; hosts go by their ids, discovery is list.
func (r *Cluster) EditLink(from, to string, do func(f *LinkFault)) { r.net.edit(from, to, do) }

// InstanceNames are the instances in the shape's order.
func (r *Cluster) InstanceNames() (all []string) {
	for _, p := range r.shape.Instances {
		all = append(all, p.Name)
	}
	return all
}

// Close ends all that the rig started, reaps it, and takes its folder away; more calls do nothing.
func (r *Cluster) Close() {
	r.once.Do(func() {
		for _, i := range r.all {
			if i.run != nil {
				i.run.signal(syscall.SIGKILL, true)
				<-i.run.ended
			}
			if i.list != nil {
				i.list.Close()
			}
		}
		r.net.close()
		for _, i := range r.all {
			freed([]string{i.wired.Client, i.wired.Fleet, i.wired.Peer})
		}
		for _, h := range r.hosts {
			h.Close()
		}
		if r.dir != "" {
			os.RemoveAll(r.dir)
		}
	})
}
