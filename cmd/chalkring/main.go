// Command chalkring is one co-ordinator; GW_CONFIG names its plan. Without a command it serves.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"chalkring/coordinator/plan"

	"github.com/alecthomas/kong"
	"github.com/lmittmann/tint"

	"chalkring/cluster/gossip"
	"chalkring/cluster/peerprotocol"
	"chalkring/config"
	"chalkring/control/fanout"
	"chalkring/control/residency"
	"chalkring/coordinator"
	"chalkring/endpoints"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
	"chalkring/opensearch/frontend"
)

type line struct {
	Serve   serve   `cmd:"" default:"withargs" help:"Work as a co-ordinator by the plan that GW_CONFIG names (what plain chalkring does)."`
	Check   check   `cmd:"" help:"Look at plans, installation files and host files as serve would, and say what is wrong with them."`
	Peers   peers   `cmd:"" help:"Ask each peer that an installation file names how it stands."`
	Search  search  `cmd:"" help:"Send a search to either front and show what comes."`
	Version version `cmd:"" help:"Tell what was built."`
}

func main() {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP) // first of all: none may end the program
	k := kong.Parse(&line{}, kong.Name("chalkring"),
		kong.Description("A co-ordinator that reads many shards for one search."), kong.UsageOnError(), kong.Bind(hangUps))
	var failed exit
	if err := k.Run(); errors.As(err, &failed) {
		os.Exit(int(failed))
	} else if err != nil {
		fmt.Fprintln(os.Stderr, "chalkring:", err)
		os.Exit(1)
	}
}

// exit is a failure that has been told already.
type exit int

func (e exit) Error() string { return fmt.Sprint("exit code ", int(e)) }

type serve struct {
	Installation string `help:"YAML file with what this installation turns on beside the plan." type:"path" placeholder:"FILE"`
}

func (s *serve) Run(hangUps chan os.Signal) error {
	signal.Ignore(syscall.SIGPIPE) // guards against an end by a line of the log whose reader has gone
	told := coordinator.NewStallGuardWriter(os.Stderr)
	log := coordinator.NewLogger(told, false, slog.LevelInfo)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	noStart := func(err error) error {
		if ctx.Err() != nil && errors.Is(err, context.Canceled) { // told to end while it waited
			return nil
		}
		log.Error("no_start", advice.LogAttrs(err)...)
		return exit(1)
	}
	plan, err := plan.Read(os.Getenv)
	if err != nil {
		return noStart(err)
	}
	var more *coordinator.PeerOptions
	var fronts []coordinator.Frontend
	hosts, owners := map[string]coordinator.HostKind{}, 1
	var lists <-chan endpoints.Update
	var keep *coordinator.Persistence
	var zones *coordinator.ResidencyGuard
	var steps *rolloutRunner
	if s.Installation != "" {
		file, err := config.Read(s.Installation)
		if err != nil {
			return noStart(err)
		}
		log = logOf(file.Log, told)
		if plan, err = settingsOf(file, plan); err != nil {
			return noStart(fmt.Errorf("%s: %w", s.Installation, err))
		}
		if hasRollout(file) && !isSupervised() {
			if err := supervise(ctx, plan.Listen, hangUps, log); err != nil {
				return noStart(err)
			}
			return nil
		}
		if more, err = peersOf(ctx, file, plan.Name, log); err != nil {
			return noStart(err)
		}
		if fronts, err = frontsOf(ctx, file, log); err != nil {
			return noStart(err)
		}
		if keep = keepOf(file, plan, log); keep != nil {
			defer keep.Close()
		}
		together, err := sharingOf(file, plan, keep, log)
		if err != nil {
			return noStart(fmt.Errorf("%s: %w", s.Installation, err))
		}
		defer together.leave()
		if hasRollout(file) {
			if steps, err = newRolloutRunner(together); errors.Is(err, errReplaced) {
				return nil
			} else if err != nil {
				return noStart(err)
			}
			defer steps.stopServing()
			if plan, err = steps.applyTo(file, plan); err != nil {
				return noStart(err)
			}
		}
		if zones, err = contractsOf(plan, together); err != nil {
			return noStart(err)
		}
		gateway, err := gatewayOf(together)
		if err != nil {
			return noStart(fmt.Errorf("%s: %w", s.Installation, err))
		}
		fronts = append(fronts, gateway...)
		owners = max(1, file.EventLoops)
		if lists = listsOf(ctx, file.EndpointSources, log); keep != nil {
			lists = keep.PrependStoredUpdate(ctx, lists)
		}
		for kind, h := range file.Hosts {
			hosts[kind] = coordinator.HostKind{Index: h.Index, Placement: h.Placement}
		}
	}
	plan.ApplyRuntimeLimits()
	plan.LimitDescriptors(log)
	means := coordinator.Options{
		Dial: (&net.Dialer{}).DialContext, Clock: coordinator.SystemClock{}, Logger: log, Peers: more,
		Frontends: fronts, HostKinds: hosts, EndpointUpdates: lists, Persistence: keep, Residency: zones,
		PlanUpdates: plan.WatchReloads(ctx, hangUps, os.Getenv, log),
	}
	if steps != nil {
		ctx = steps.startServing(ctx, &means)
	} else if means.Listener, err = listen(ctx, plan.Listen, log); err != nil {
		return noStart(err)
	}
	if err := coordinator.ServeSharded(ctx, plan, means, owners); err != nil {
		log.Error("failed", "error", err)
		return exit(1)
	}
	return nil
}

const (
	listenMost = 5 * time.Second       // for an address that is in use to be free: the process before has it 1 s after SIGTERM
	listenEach = 20 * time.Millisecond // between two tries meanwhile
)

// NoAddress is an address that cannot be listened on.
type NoAddress struct {
	Address string
	Err     error
}

func (e *NoAddress) Error() string { return e.Err.Error() }
func (e *NoAddress) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *NoAddress) Advice() string {
	if errors.Is(e.Err, syscall.EADDRINUSE) {
		return fmt.Sprintf("Another process listens on %s and has not let go in %v: end it, or give this one another listen address.",
			e.Address, listenMost)
	}
	return "Give an address of this machine, with a port that this user may listen on, as listen."
}

// listen listens on an address, and waits for it while another has it. Guards against a restart that overlaps: the process
// before still takes connections for a while after SIGTERM.
func listen(ctx context.Context, address string, log *slog.Logger) (net.Listener, error) {
	until, told := time.Now().Add(listenMost), false
	for {
		ln, err := net.Listen("tcp", address)
		switch {
		case err == nil:
			return ln, nil
		case !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until):
			return nil, &NoAddress{address, err}
		case !told:
			told = true
			log.Warn("address_in_use", "listen", address, "waits", listenMost)
		}
		select {
		case <-time.After(listenEach):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// logOf is the log as an installation wants it.
func logOf(l config.Log, to io.Writer) *slog.Logger {
	var least slog.Level
	least.UnmarshalText([]byte(l.Level)) // the file's check has seen it
	if l.Format == "terminal" {
		return slog.New(tint.NewHandler(to, &tint.Options{Level: least, TimeFormat: time.TimeOnly + ".000"}))
	}
	return coordinator.NewLogger(to, l.Format == "json", least)
}

// settingsOf puts an installation's settings over the plan's, and those to be watched beside them.
func settingsOf(file *config.File, plan *plan.Plan) (*plan.Plan, error) {
	site := plan.ResidencySite()
	if err := file.CheckAgainstPlan(site.Classes, site.Tenants); err != nil {
		return nil, err
	}
	plan, err := plan.WithSettings(config.FlattenSettings(file.Settings))
	if err != nil || file.Shadow == nil {
		return plan, err
	}
	return plan.WithShadowSettings(config.FlattenSettings(file.Shadow.Settings))
}

// peersOf opens what an installation's peers need.
func peersOf(ctx context.Context, file *config.File, name string, log *slog.Logger) (*coordinator.PeerOptions, error) {
	p := file.Peers
	if p == nil {
		return nil, nil
	}
	if p.Name != "" {
		name = p.Name
	}
	more := &coordinator.PeerOptions{
		Name: name, Location: p.Locality, AllowedPeers: p.AllowedPeers, RefreshInterval: p.RefreshInterval,
		Budgets: map[string]scheduler.Budget{},
	}
	for kind, w := range file.Background {
		more.Budgets[kind] = budgetOf(w)
	}
	for _, one := range p.PollTargets {
		more.PollTargets = append(more.PollTargets, coordinator.PeerAddress{Name: one.Name, Addr: one.Address})
	}
	var err error
	if more.Keys, err = keysOf(p.TLS, func(err error) { log.Error("keys_failed", "error", err) }); err != nil {
		return nil, err
	}
	if p.Listen != "" {
		more.Listener, err = listen(ctx, p.Listen, log)
	}
	return more, err
}

// keepOf begins to open what this process keeps on disk, nil where nothing is.
func keepOf(file *config.File, plan *plan.Plan, log *slog.Logger) *coordinator.Persistence {
	path, alone := file.Store, true
	if f := file.Cluster; f != nil && f.StoreFile != "" && (path == "" || path == f.StoreFile) {
		path, alone = f.StoreFile, false
	}
	if path == "" {
		return nil
	}
	return coordinator.NewPersistence(path, alone, budgetOf(file.Background["keep"]), plan, coordinator.SystemClock{}, log)
}

func budgetOf(w config.WorkBudget) scheduler.Budget {
	return scheduler.Budget{MaxConcurrent: w.MaxConcurrent, BytesPerSecond: w.BytesPerSecond, CPUPerSecond: w.CPUPerSecond}
}

// frontsOf opens what an installation's other fronts need.
func frontsOf(ctx context.Context, file *config.File, log *slog.Logger) ([]coordinator.Frontend, error) {
	o := file.OpenSearch
	if o == nil {
		return nil, nil
	}
	f := &frontend.Server{}
	for _, x := range o.Indices {
		f.Indices = append(f.Indices, frontend.Index{
			Name: x.Name, SearchType: x.Type, Tenant: x.Tenant, Blocks: x.Blocks,
			Placement: x.Placement,
		})
	}
	var err error
	if o.TLS != nil {
		if f.TLSConfig, err = frontend.LoadTLS(o.TLS.Certificate, o.TLS.Key, o.TLS.Authorities); err != nil {
			return nil, err
		}
	}
	if f.Listener, err = listen(ctx, o.Listen, log); err != nil {
		return nil, err
	}
	return []coordinator.Frontend{f}, nil
}

func keysOf(t *config.TLS, complain func(err error)) (*peerprotocol.Credentials, error) {
	if t == nil {
		return nil, nil
	}
	return peerprotocol.NewCredentials(t.Certificate, t.Key, t.Authorities, complain)
}

type check struct {
	Files checkFiles `cmd:"" default:"withargs" help:"Plans (.json), installation files and files of contracts (.yaml); contracts are held against the plan."`
	Hosts checkHosts `cmd:"" help:"Host files."`
}

type checkFiles struct {
	Files []string `arg:"" type:"existingfile" help:"Files to look at."`
}

// plan is the first plan among the files, which contracts are held against; nil where there is none that can be used.
func (c *checkFiles) plan() *plan.Plan {
	for _, name := range c.Files {
		if text, err := os.ReadFile(name); err == nil && filepath.Ext(name) == ".json" {
			if plan, err := plan.Parse(text); err == nil {
				return plan
			}
		}
	}
	return nil
}

func (c *checkFiles) Run() error {
	bad := false
	sitePlan := c.plan()
	for _, name := range c.Files {
		var err error
		told := "can be used"
		switch filepath.Ext(name) {
		case ".jsonl":
			_, err = fanout.ReadRegionFile(name)
		case ".yaml", ".yml":
			if fanout.IsRegionFile(name) {
				_, err = fanout.ReadRegionFile(name)
				break
			}
			var file *config.File
			if text, fault := hostfile.ReadText(name); fault == nil && residency.IsPolicyFile(text) {
				told, err = checkContracts(name, text, sitePlan)
				break
			}
			if file, err = config.Read(name); err == nil && file.Peers != nil {
				if _, err = keysOf(file.Peers.TLS, nil); err != nil {
					err = fmt.Errorf("%s: %w", name, err)
				}
			}
			if err == nil && file.Cluster != nil && file.Cluster.KeyFile != "" {
				if _, _, err = gossip.ReadKeyFile(file.Cluster.KeyFile); err != nil {
					err = fmt.Errorf("%s: %w", name, err)
				}
			}
			if err == nil && sitePlan != nil {
				site := sitePlan.ResidencySite()
				if err = file.CheckAgainstPlan(site.Classes, site.Tenants); err != nil {
					err = fmt.Errorf("%s: %w", name, err)
				}
			}
			if err == nil && hasRollout(file) {
				err = checkChangeFile(file)
			}
			if err == nil && file.Cluster != nil && file.Cluster.ResidencyFile != "" {
				var text []byte
				if text, err = hostfile.ReadText(file.Cluster.ResidencyFile); err == nil {
					_, err = checkContracts(file.Cluster.ResidencyFile, text, sitePlan)
				}
			}
		default:
			var text []byte
			if text, err = os.ReadFile(name); err == nil {
				if _, err = plan.Parse(text); err != nil {
					err = fmt.Errorf("%s: %w", name, err)
				}
			}
		}
		if err != nil {
			bad = true
			fmt.Fprintln(os.Stderr, advice.Describe(err))
			continue
		}
		fmt.Println(name+":", told)
	}
	if bad {
		return exit(1)
	}
	return nil
}

type peers struct {
	Installation string `required:"" help:"YAML file that names the peers." type:"existingfile" placeholder:"FILE"`
	Name         string `help:"Name to ask under, where the file has none." default:""`
}

func (p *peers) Run() error {
	file, err := config.Read(p.Installation)
	if err != nil {
		return err
	}
	if file.Peers == nil || len(file.Peers.PollTargets) == 0 {
		return fmt.Errorf("%s names no peers to ask", p.Installation)
	}
	if file.Peers.Name != "" {
		p.Name = file.Peers.Name
	}
	keys, err := keysOf(file.Peers.TLS, func(err error) { fmt.Fprintln(os.Stderr, err) })
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "PEER\tADDRESS\tPLACE\tUP\tLIST\tHOSTS\tTOLD\tPUT OFF\tLOAD\tJOBS\tHELD\tITS PEERS")
	unreached := 0
	for _, one := range file.Peers.PollTargets {
		asking := peerprotocol.Client{PeerName: one.Name, Addr: one.Address, LocalName: p.Name, Dial: (&net.Dialer{}).DialContext, Credentials: keys}
		s, err := asking.FetchStatus(context.Background())
		if err != nil {
			unreached++
			fmt.Fprintf(out, "%s\t%s\t%v\n", one.Name, one.Address, err)
			continue
		}
		var its []string
		for _, q := range s.Peers {
			last := q.LastOutcome
			if last == "" {
				last = "not asked"
			}
			its = append(its, fmt.Sprintf("%s:%s", q.Name, last))
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d%%\t%d+%d\t%d\t%s\n", one.Name, one.Address, s.Locality,
			(time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second), s.ListVersion, s.HostCount, s.ReportsServed, s.ReportsDeferred,
			s.LoadPermille/10, s.RunningJobs, s.WaitingJobs, s.DeferredJobs, strings.Join(its, " "))
	}
	if unreached > 0 {
		out.Flush()
		return exit(1)
	}
	return nil
}

type version struct{}

func (version) Run() error {
	fmt.Printf("chalkring %s, %s, %s/%s\n", built(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}

// release names what was built where the build says so: -ldflags "-X main.release=2.5".
var release string

// built tells what was built: the release, or the revision, its time, and whether there were changes.
func built() string {
	if release != "" {
		return release
	}
	info, _ := debug.ReadBuildInfo()
	revision, at, dirty := "unknown", "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.time":
			at = " of " + s.Value
		case "vcs.modified":
			if s.Value == "true" {
				dirty = " with changes"
			}
		}
	}
	return revision + at + dirty
}
