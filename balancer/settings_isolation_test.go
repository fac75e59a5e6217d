package balancer

import (
	"fmt"
	"maps"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// randomSettings holds random settings before their query types and tenants are put in an order.
type randomSettings struct {
	single              map[string]string
	queryTypes, tenants []map[string]string // settings objects
	lists               map[string][]string // lists with an item for each query type

	servesEachFirst   bool // begins with one search of each type and tenant, then plays only those below
	queryType, tenant int
}

func newRandomSettings(rng *rand.Rand) randomSettings {
	pick := func(values ...string) string { return values[rng.Intn(len(values))] }
	random := randomSettings{single: map[string]string{
		"Specifics.Sets": "2", "Specifics.Reach": pick("1", "2"), "Balancers": pick("1", "3"),
		"Specifics.PerCall": pick("1", "3"), "Permissions.MaxAttempts": pick("1", "2", "4"),
		"Permissions.SecondCopies": pick("true", "false"), "Permissions.Cancelling": pick("true", "false"),
		"Tick": pick("1", "5"),
	}, lists: map[string][]string{}}
	if rng.Intn(2) == 0 {
		random.single["Safety.LookBack"] = "3000"
		random.single["Safety.FurtherRatio"], random.single["Safety.ExtraFloor"] = "0.1", "2"
	}
	for i := range 4 {
		objective := 50 + rng.Intn(1500)
		random.queryTypes = append(random.queryTypes, map[string]string{
			"Name": fmt.Sprint("type", i), "Aim": fmt.Sprint(objective),
			"Deadline": fmt.Sprint(objective + rng.Intn(2000)), "Effect": pick("retryable", "dedup", "fragile"),
			"LateShare": pick("0", "0.03", "0.4"), "RepeatWindow": pick("0", "1", "150", "2000"),
		})
		needed := pick("0.4", "0.75", "1")
		for name, value := range map[string]string{
			"NeedByClass": needed, "ClassFloor": pick(needed, "0.25"), "FollowUp": pick("0", "0", "2"),
			"ShortWorth": pick("0.5", "1"),
		} {
			random.lists[name] = append(random.lists[name], value)
		}
	}
	for i := range 3 {
		random.tenants = append(random.tenants, map[string]string{
			"Name": fmt.Sprint("tenant", i), "QuotaPerS": pick("2", "20", "1000"),
		})
	}
	return random
}

// arrangement defines the position of each query type and tenant in the settings, and a suffix of their names.
type arrangement struct {
	queryTypes, tenants []int
	nameSuffix          string
}

var originalOrder = arrangement{queryTypes: []int{0, 1, 2, 3}, tenants: []int{0, 1, 2}}

// arrange returns the settings with the query types and tenants ordered and named by an arrangement.
func (d randomSettings) arrange(to arrangement) map[string]string {
	all := map[string]string{
		settingQueryTypes: fmt.Sprint(len(to.queryTypes)), settingTenants: fmt.Sprint(len(to.tenants)),
	}
	maps.Copy(all, d.single)
	addObjects := func(list string, objects []map[string]string, places []int) {
		for i, object := range objects {
			for field, value := range object {
				if field == "Name" {
					value += to.nameSuffix
				}
				all[fmt.Sprintf("%s.%d.%s", list, places[i], field)] = value
			}
		}
	}
	addObjects(listQueryTypes, d.queryTypes, to.queryTypes)
	addObjects(listTenants, d.tenants, to.tenants)
	for name, items := range d.lists {
		arranged := make([]string, len(items))
		for i, item := range items {
			arranged[to.queryTypes[i]] = item
		}
		all["Specifics."+name] = strings.Join(arranged, ",")
	}
	return all
}

// randomRun is a scenario with random settings and the steps still to be played.
type randomRun struct {
	*scenario
	arrangement arrangement
	steps       []func()
}

func (r *randomRun) addStep(step func()) { r.steps = append(r.steps, step) }

func (r *randomRun) addLine(words ...string) { r.addStep(func() { r.runLine(words) }) }

func (r *randomRun) playStep() {
	step := r.steps[0]
	r.steps = r.steps[1:]
	step()
}

// playAll plays all steps and returns the actions.
func (r *randomRun) playAll() []string {
	for len(r.steps) > 0 {
		r.playStep()
	}
	return r.allActions
}

// randomSearch is a search with requests of consecutive shards. Its query type and tenant are numbered in the original
// order.
type randomSearch struct {
	queryType, tenant, firstShard, requestCount int
	timeLeft                                    int64 // in milliseconds
	isRetry                                     bool
}

func (r *randomRun) addRandomSearch(id uint64, search randomSearch) {
	r.expectedAnswers[id] = 1
	r.iterate(func() {
		queryType, tenant := r.arrangement.queryTypes[search.queryType], r.arrangement.tenants[search.tenant]
		r.balancer.AddSearch(id, queryType, tenant, "-", search.timeLeft*millisecond, id, search.requestCount, search.isRetry)
		var shards []string
		for i := range search.requestCount {
			shards = append(shards, fmt.Sprint(search.firstShard+i))
		}
		r.addRequests(id, id*100, strings.Join(shards, ","), "")
	})
}

// prepare returns a run of 150 searches with faults and list changes.
func (d randomSettings) prepare(t *testing.T, rng *rand.Rand, to arrangement) *randomRun {
	r := &randomRun{scenario: newScenario(t, ""), arrangement: to}
	maps.DeleteFunc(r.settings, func(name, _ string) bool { return strings.HasPrefix(name, listQueryTypes+".") })
	maps.Copy(r.settings, d.arrange(to))
	replicas := []string{"h0", "h1", "h2", "far0", "far1", "h3"}
	start := []string{"start"}
	for i, id := range replicas {
		start = append(start, fmt.Sprintf("%s/%d/healthy/%d", id, i%2, rng.Intn(2)))
	}
	r.addLine(start...)
	r.addLine("when", strings.Join(replicas, ","), "Ok", "30")
	if d.servesEachFirst {
		r.addSearchOfEach()
	}
	for id := uint64(1); id <= 150; id++ {
		r.addRandomFaults(rng, replicas, id)
		search := randomSearch{
			queryType: rng.Intn(4), tenant: rng.Intn(3), requestCount: 1 + rng.Intn(6),
			isRetry: rng.Intn(4) == 0, timeLeft: 60 + int64(rng.Intn(1500)),
		}
		if d.servesEachFirst {
			search.queryType, search.tenant = d.queryType, d.tenant
		}
		search.firstShard = rng.Intn(2)
		if d.lists["FollowUp"][search.queryType] != "0" {
			r.secondSteps[id] = "0,1"
		}
		r.addStep(func() { r.addRandomSearch(id, search) })
		if rng.Intn(10) == 0 {
			r.addStep(func() {
				if r.expectedAnswers[id] == 1 {
					r.runLine([]string{"withdraw", fmt.Sprint(id)})
				}
			})
		}
		wait := int64(rng.Intn(400))
		r.addStep(func() { r.playUntil(r.now + wait) })
	}
	r.addStep(func() { r.playUntil(r.now + 100_000) })
	return r
}

// addSearchOfEach adds one search of each query type and tenant, each answered before the next is added.
func (r *randomRun) addSearchOfEach() {
	r.addStep(func() { r.playUntil(200_000) })
	queryTypes, tenants := len(r.arrangement.queryTypes), len(r.arrangement.tenants)
	for i := range max(queryTypes, tenants) {
		r.addStep(func() {
			search := randomSearch{queryType: i % queryTypes, tenant: i % tenants, requestCount: 1, timeLeft: 60_000}
			r.addRandomSearch(uint64(900+i), search)
			r.playUntil(r.now + 20_000)
		})
	}
}

func (r *randomRun) addRandomFaults(rng *rand.Rand, replicas []string, id uint64) {
	if rng.Intn(12) == 0 {
		replica := replicas[rng.Intn(len(replicas))]
		outcomes := []string{"Ok", "Ok", "Failed", "QueueFull", "ConnectError", "ResetByPeer", "TimedOut"}
		outcome := outcomes[rng.Intn(7)]
		r.addLine("when", replica, outcome, fmt.Sprint(1+rng.Intn(400)))
	}
	if rng.Intn(30) == 0 {
		i := rng.Intn(len(replicas))
		status := []string{"draining", "deregistered", "healthy", "healthy"}[rng.Intn(4)]
		r.addLine("list", "Partial", fmt.Sprintf("%s/%d/%s/%d", replicas[i], i%2, status, id*20))
	}
}

func prepareSeed(t *testing.T, seed int64, to arrangement) *randomRun {
	rng := rand.New(rand.NewSource(seed))
	return newRandomSettings(rng).prepare(t, rng, to)
}

// Decisions on a search depend on the settings of its query type and tenant, not on their position in the lists or
// their names: the same settings in another order and with other names give the same actions.
func TestOrderAndNamesOfQueryTypesAndTenantsDoNotMatter(t *testing.T) {
	for seed := range int64(24) {
		want := prepareSeed(t, seed, originalOrder).playAll()
		require.Greater(t, len(want), 100)
		rng := rand.New(rand.NewSource(-1 - seed))
		shuffled := arrangement{queryTypes: rng.Perm(4), tenants: rng.Perm(3), nameSuffix: "-other"}
		require.Equal(t, want, prepareSeed(t, seed, shuffled).playAll(), "seed %d, %v", seed, shuffled)
	}
}

// Two balancers with different settings in one process decide the same as each of them alone, in whatever order their
// iterations come.
func TestBalancersAreIndependent(t *testing.T) {
	for seed := range int64(8) {
		var want, got [2][]string
		var runs [2]*randomRun
		for i := range runs {
			runSeed := seed*2 + int64(i)
			want[i] = prepareSeed(t, runSeed, originalOrder).playAll()
			runs[i] = prepareSeed(t, runSeed, originalOrder)
		}
		rng := rand.New(rand.NewSource(seed))
		for len(runs[0].steps)+len(runs[1].steps) > 0 {
			i := rng.Intn(2)
			if len(runs[i].steps) == 0 {
				i = 1 - i
			}
			runs[i].playStep()
		}
		for i, run := range runs {
			got[i] = run.allActions
		}
		require.Equal(t, want, got)
	}
}

// A search is handled by the settings of its own query type and tenant, whatever came before. Once a search of each has
// been answered, searches of one type and tenant are handled as if all types and tenants had the same settings as
// these.
func TestSearchFollowsItsOwnSettings(t *testing.T) {
	for seed := range int64(16) {
		play := func(uniform bool) []string {
			rng := rand.New(rand.NewSource(seed))
			random := newRandomSettings(rng)
			random.servesEachFirst, random.queryType, random.tenant = true, rng.Intn(4), rng.Intn(3)
			random.lists["FollowUp"] = []string{"0", "0", "0", "0"} // the first search of each has only one step
			if uniform {
				random.makeUniform()
			}
			return random.prepare(t, rng, originalOrder).playAll()
		}
		require.Equal(t, play(true), play(false), "seed %d", seed)
	}
}

// makeUniform gives all query types and tenants the settings of the chosen ones.
func (d *randomSettings) makeUniform() {
	for i := range d.queryTypes {
		d.queryTypes[i] = d.queryTypes[d.queryType]
		for _, items := range d.lists {
			items[i] = items[d.queryType]
		}
	}
	for i := range d.tenants {
		d.tenants[i] = d.tenants[d.tenant]
	}
}
