package benchmark

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

const (
	zonesFor       = 26 * time.Second // of load
	zonesRate      = 60.0             // searches a second over all instances and tenants
	zonesPatience  = 3 * time.Second  // of clients
	zonesLease     = 2 * time.Second  // as the contracts state it
	zonesCut       = 3 * time.Second  // when one or two instances are cut off at the earliest
	zonesTighten   = 5 * time.Second  // when one of the others is given the tightening
	zonesStated    = 8 * time.Second  // after which it is stated to be in force: a kill and a start lie between
	zonesHeal      = 14 * time.Second
	zonesBeside    = 16 * time.Second        // a tenant's region changes: old and new side by side
	zonesOver      = 19 * time.Second        // until it is told over
	zonesMove      = 22 * time.Second        // a host's zone changes
	zonesTold      = 1500 * time.Millisecond // for a generation to be with all that are heard
	zonesOut       = 100 * time.Millisecond  // for what was sent by then to be with its host
	zonesShare     = 0.01                    // of served share that tenants without a contract may lose
	zonesAgain     = 40                      // tries until a tenant under contract is served again
	zonesAgainEach = 100 * time.Millisecond
	zonesStall     = 300 * time.Millisecond // by which processes may be held up for a verdict on what depends on time
	zonesTick      = 10 * time.Millisecond
	zonesAtOnce    = 300 * time.Millisecond // for a refusal that needs nobody, on a machine that is busy
)

// MeasureResidency has five processes in three regions keep tenants inside their zones, through a partition while a contract
// tightens, a kill between writing and telling it, a tenant that moves to another region and a host that does. The
// hosts' own records say where parts ran. The same load and faults without contracts run beside it.
func MeasureResidency(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 58*time.Second)
	defer stop()
	defer clustertest.RemoveBuilds()
	calm := watchStalls(ctx)
	var with, without zonesRun
	var g sync.WaitGroup
	var fault error
	g.Go(func() { without, fault = playZones(ctx, seed, false) })
	with, err := playZones(ctx, seed, true)
	if g.Wait(); err == nil {
		err = fault
	}
	if err != nil {
		return Result{}, err
	}
	out := Result{Fields: map[string]any{
		"searches": with.verdict.Searches, "parts": with.verdict.ShardRequests, "outside": with.outside,
		"caught": with.caught, "without_one_answer": with.broken["one_answer"], "free_share": round(with.share["other"]),
		"free_share_without_contracts": round(without.share["other"]), "tighten_to_last_ms": with.last.Milliseconds(),
		"agreed_ms": with.agreed.Milliseconds(), "refused": with.refused, "refused_p99_ms": round(1000 * with.refusedP99.Seconds()),
		"late": with.broken["in_time"], "bound_share": round(with.share["acme"]), "leases_ended": with.lapses, "schedule": with.schedule,
	}}
	miss := func(format string, v ...any) { out.MissedGoals = append(out.MissedGoals, fmt.Sprintf(format, v...)) }
	for _, b := range with.verdict.Violations {
		if b.Name != "in_time" { // on a machine that is busy
			miss("%s broken %d times, first: %s", b.Name, b.Count, b.First)
		}
	}
	for _, m := range with.missed {
		miss("%s", m)
	}
	if lost := without.share["other"] - with.share["other"]; lost > zonesShare {
		miss("tenants without a contract: %.3f served, %.3f where nobody has one", with.share["other"], without.share["other"])
	}
	stalled := calm()
	out.Fields["stalled_ms"] = stalled.Milliseconds()
	if len(out.MissedGoals) > 0 && stalled > zonesStall {
		return Result{}, fmt.Errorf("no verdict: this machine held processes up for %v, and times mean nothing: %s", stalled,
			strings.Join(out.MissedGoals, "; "))
	}
	return out, ctx.Err()
}

// watchStalls measures by how much a short sleep is late at the most, until the function it returns is called: processes
// that get no time answer nobody, whatever they decide.
func watchStalls(ctx context.Context) func() time.Duration {
	ctx, stop := context.WithCancel(ctx)
	worst := make(chan time.Duration, 1)
	go func() {
		most := time.Duration(0)
		for ctx.Err() == nil {
			began := time.Now()
			time.Sleep(zonesTick)
			most = max(most, time.Since(began)-zonesTick)
		}
		worst <- most
	}()
	return func() time.Duration {
		stop()
		return <-worst
	}
}

// zonesRun is what came of one run.
type zonesRun struct {
	verdict                clustertest.Verdict
	broken                 map[string]int
	share                  map[string]float64 // served, by tenant
	outside, caught        int
	refused, lapses        int
	last, agreed           time.Duration // from the tightening: the last part under the old policy; more than half have it
	refusedP50, refusedP99 time.Duration
	schedule               string
	missed                 []string
}

// zonesFile is a file of contracts.
func zonesFile(generation, beside int, by time.Time, acme, nomad string) string {
	text := fmt.Sprintf("generation: %d\nlease: %v\nhost_rest: 1h\ndefault: anywhere\n", generation, zonesLease)
	if beside > 0 {
		text += fmt.Sprintf("beside: %d\n", beside)
	}
	if !by.IsZero() {
		text += "in_force_by: " + by.UTC().Format(time.RFC3339) + "\n"
	}
	return text + fmt.Sprintf("contracts:\n- {tenant: acme, zones: [%s]}\n- {tenant: nomad, zones: [%s]}\n- {tenant: lone, zones: [sea-1]}\n", acme, nomad)
}

func playZones(ctx context.Context, seed int64, bound bool) (run zonesRun, err error) {
	chance := rand.New(rand.NewSource(seed))
	zones := []string{"eu-1", "us-1", "ap-1", "sea-1"}
	shape := clustertest.Config{Seed: seed, Settings: clustertest.DefaultSettings(5, zones), Instances: []clustertest.Instance{
		{Name: "e1", Region: "eu", Zone: "eu-1"},
		{Name: "e2", Region: "eu", Zone: "eu-1"},
		{Name: "u1", Region: "us", Zone: "us-1"},
		{Name: "u2", Region: "us", Zone: "us-1"},
		{Name: "p1", Region: "ap", Zone: "ap-1"},
	}}
	var tenants []any
	for _, name := range []string{"acme", "nomad", "lone", "other"} {
		tenants = append(tenants, map[string]any{"Name": name, "QuotaPerS": 1000.0})
	}
	shape.Settings["Tenants"] = tenants
	for _, zone := range zones[:3] {
		for cell := range clustertest.BlockCount {
			shape.Hosts = append(shape.Hosts, clustertest.Host{ID: fmt.Sprintf("%s-%d", zone, cell), Zone: zone, Cell: cell})
		}
	}
	shape.Hosts = append(shape.Hosts, clustertest.Host{ID: "sea-1-0", Zone: "sea-1", Cell: 0})
	shape.InstallationFile = func(w clustertest.InstanceAddresses) string {
		more := map[string]string{"store": "kept.db"}
		if bound {
			more["residency"] = "contracts.yaml"
		}
		if err := os.WriteFile(filepath.Join(w.Dir, "contracts.yaml"), []byte(zonesFile(1, 0, time.Time{}, "eu-1, us-1", "us-1")), 0o600); err != nil {
			return ""
		}
		return fleetText(w, more)
	}
	r, err := clustertest.New(ctx, shape)
	if err != nil {
		return run, err
	}
	defer r.Close()
	names := r.InstanceNames()
	if bound { // the first lease is held before anything is asked
		up, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		for _, name := range names {
			if err := r.WaitLogged(up, name, "event=residency_lease_renewed ", 1); err != nil {
				return run, err
			}
		}
	}
	// The drawn part: who is cut off, who is given the tightening, when that one is killed.
	chance.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	minority := names[:1+chance.Intn(2)]
	given, others := names[len(minority)], names[len(minority):]
	killed := zonesTighten + time.Duration(chance.Int63n(int64(700*time.Millisecond)))
	s := clustertest.Schedule{Seed: seed}
	add := func(at time.Duration, verb string, args ...string) {
		s.Events = append(s.Events, clustertest.Event{At: at.Round(time.Millisecond), Verb: verb, Args: args})
	}
	add(zonesCut+time.Duration(chance.Int63n(int64(zonesTighten-zonesCut))), "cut", strings.Join(minority, ",")+"<>"+strings.Join(others, ","))
	add(zonesTighten, "do", "tighten", given)
	add(killed, "kill", given)
	add(killed+time.Second, "start", given)
	add(zonesHeal, "heal")
	add(zonesBeside, "do", "beside", others[len(others)-1])
	add(zonesOver, "do", "over", minority[0])
	add(zonesMove, "do", "move")
	run.schedule = strings.ReplaceAll(strings.TrimSpace(s.String()), "\n", "; ")
	var tightened, by, beside, over, moved time.Time
	write := func(name, text string) error {
		if !bound {
			return nil
		}
		return r.WriteFile(name, "contracts.yaml", text)
	}
	actions := map[string]func([]string) error{
		"tighten": func(to []string) error {
			tightened = time.Now()
			by = tightened.Add(zonesStated).Truncate(time.Second)
			return write(to[0], zonesFile(2, 0, by, "eu-1", "us-1"))
		},
		"beside": func(to []string) error {
			beside = time.Now()
			return write(to[0], zonesFile(3, 2, time.Time{}, "eu-1", "eu-1"))
		},
		"over": func(to []string) error {
			over = time.Now()
			return write(to[0], zonesFile(4, 0, time.Time{}, "eu-1", "eu-1"))
		},
		"move": func([]string) error {
			moved = time.Now()
			r.EditEndpoints(func(e *fake.Endpoint) {
				if e.ID == "eu-1-3" {
					e.Zone = "us-1"
				}
			})
			return nil
		},
	}
	asks := r.DrawSearches(seed, "z", zonesRate, zonesFor, zonesPatience, "acme", "acme", "nomad", "lone", "other", "other")
	answers := make(chan []clustertest.ClientResult, 1)
	go func() { answers <- r.PlaySearches(ctx, asks) }()
	err = r.RunSchedule(ctx, s, actions)
	got := <-answers
	if err != nil {
		return run, err
	}
	run.share = servedShares(got)
	if !bound {
		run.verdict = r.Judge(got, clustertest.AuditRules{})
		return run, nil
	}
	if run.agreed, err = firstLogged(r, names, "event=residency_majority_reached generation=2", tightened); err != nil {
		run.missed = append(run.missed, err.Error())
	}
	told := moved // when all instances have the list in which the host's zone is another
	for _, name := range names {
		one, err := firstLogged(r, []string{name}, "event=list how=", moved)
		if err != nil {
			run.missed = append(run.missed, name+": "+err.Error())
		}
		if at := moved.Add(one + zonesOut); at.After(told) {
			told = at
		}
	}
	moving := func(at time.Time) bool { return at.After(moved) && at.Before(told) }
	from := by // the tightening is in force: stated, or a lease after more than half had it
	if run.agreed > 0 && tightened.Add(run.agreed+zonesLease).Before(by) {
		from = tightened.Add(run.agreed + zonesLease)
	}
	allowed := func(tenant, zone string, at time.Time) bool {
		switch tenant {
		case "acme":
			return zone == "eu-1" || zone == "us-1" && (at.Before(from) || moving(at))
		case "nomad":
			return zone == "us-1" && (at.Before(beside.Add(zonesTold)) || moving(at)) || zone == "eu-1" && at.After(over)
		case "lone":
			return false // its searches ask for blocks that its zone lacks
		}
		return true
	}
	run.verdict = r.Judge(got, clustertest.AuditRules{AllowsZone: allowed})
	run.broken = map[string]int{}
	for _, b := range run.verdict.Violations {
		run.broken[b.Name] = b.Count
	}
	run.outside = run.broken["allowed_zone"]
	tenant := map[string]string{}
	var refused []time.Duration
	for _, a := range got {
		tenant[a.ID] = a.Tenant
		if strings.Contains(a.Body, `"residency"`) {
			run.refused++
			if len(a.Attempts) == 1 {
				refused = append(refused, a.Latency)
			}
		}
		switch {
		case a.Tenant == "lone" && a.Status == http.StatusOK:
			run.missed = append(run.missed, a.ID+": answered, though no host of its zones holds its blocks")
		case a.Tenant == "lone" && a.Status == 451 && !strings.Contains(a.Body, `"tenant":"lone"`):
			run.missed = append(run.missed, a.ID+": a refusal that does not name the tenant: "+a.Body)
		}
	}
	for _, p := range r.Audit.ShardRequests() {
		if tenant[p.SearchID] == "acme" && p.Zone == "us-1" && p.At.After(tightened) && (moved.IsZero() || p.At.Before(moved)) {
			run.last = max(run.last, p.At.Sub(tightened))
		}
	}
	slices.Sort(refused)
	if n := len(refused); n > 0 {
		run.refusedP50, run.refusedP99 = refused[n/2], refused[n*99/100]
	}
	if run.refusedP50 > zonesAtOnce {
		run.missed = append(run.missed, fmt.Sprintf("half of the refusals took over %v", run.refusedP50))
	}
	for _, name := range names { // once all is over, each serves those under contract again
		for _, tenant := range []string{"acme", "nomad"} {
			if err := servedAgain(ctx, r, name, tenant); err != nil {
				run.missed = append(run.missed, err.Error())
			}
		}
		log := r.Log(name)
		run.caught += strings.Count(log, "event=residency_guard")
		run.lapses += strings.Count(log, "event=residency_lease_expired")
		n, err := metric(ctx, r, name, "chalkring_residency_caught_total")
		if run.caught += int(n); err != nil {
			run.missed = append(run.missed, err.Error())
		}
		if g, err := metric(ctx, r, name, "chalkring_residency_generation"); err != nil || g != 4 {
			run.missed = append(run.missed, fmt.Sprintf("%s ends with generation %g", name, g))
		}
	}
	if run.caught > 0 {
		run.missed = append(run.missed, fmt.Sprintf("the second guard caught %d parts", run.caught))
	}
	if run.lapses == 0 {
		run.missed = append(run.missed, "no lease ended on the side that was cut off")
	}
	return run, nil
}

// servedAgain waits until an instance answers a tenant's search.
func servedAgain(ctx context.Context, r *clustertest.Cluster, name, tenant string) error {
	for n := 0; ; n++ {
		s := fake.Search{ID: fmt.Sprintf("again-%s-%s-%d", tenant, name, n), Type: quickPicks, Tenant: tenant, Patience: zonesPatience}
		for b := range clustertest.BlockCount {
			s.Shards = append(s.Shards, b)
		}
		got := r.PlaySearches(ctx, []clustertest.ScheduledSearch{{Search: s, Targets: []string{name}}})
		if len(got) == 1 && got[0].Status == http.StatusOK {
			return nil
		}
		if n == zonesAgain || ctx.Err() != nil {
			return fmt.Errorf("%s does not serve %s again: %+v", name, tenant, got)
		}
		time.Sleep(zonesAgainEach)
	}
}

// servedShares are the shares of searches that were answered, by tenant.
func servedShares(all []clustertest.ClientResult) map[string]float64 {
	good, n := map[string]float64{}, map[string]float64{}
	for _, a := range all {
		if n[a.Tenant]++; a.Status == http.StatusOK {
			good[a.Tenant]++
		}
	}
	for tenant := range maps.Keys(n) {
		good[tenant] /= n[tenant]
	}
	return good
}

// firstLogged is how long after a time the first instance wrote a line.
func firstLogged(r *clustertest.Cluster, names []string, text string, since time.Time) (first time.Duration, err error) {
	for _, name := range names {
		for line := range strings.Lines(r.Log(name)) {
			if !strings.Contains(line, text) {
				continue
			}
			stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
			at, err := time.Parse(time.RFC3339Nano, stamp)
			if err != nil {
				return 0, err
			}
			if d := at.Sub(since.Truncate(time.Millisecond)) + time.Millisecond; d > 0 && (first == 0 || d < first) { // the log tells whole ones
				first = d
			}
		}
	}
	if first == 0 {
		return 0, fmt.Errorf("%q is in no log by then", text)
	}
	return first, nil
}

// metric reads one figure of an instance's /metrics.
func metric(ctx context.Context, r *clustertest.Cluster, instance, name string) (v float64, err error) {
	_, text, err := r.Get(ctx, instance, "/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if n, _ := fmt.Sscanf(line, name+" %g", &v); n == 1 {
			return v, nil
		}
	}
	return 0, fmt.Errorf("%s tells no %s", instance, name)
}
