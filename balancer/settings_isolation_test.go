package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// drawnSettings is settings that are drawn, before their classes and tenants are put in an order.
type drawnSettings struct {
	single              map[string]string
	queryTypes, tenants []map[string]string // what stands in lists of objects
	lists               map[string][]string // what stands in lists by class

	servesAllFirst    bool // searches of all are answered first, and then all are of these
	queryType, tenant int
}

func drawSettings(c *rand.Rand) drawnSettings {
	pick := func(of ...string) string { return of[c.Intn(len(of))] }
	w := drawnSettings{single: map[string]string{
		"Specifics.Sets": "2", "Specifics.Reach": pick("1", "2"), "Balancers": pick("1", "3"),
		"Specifics.PerCall": pick("1", "3"), "Permissions.MaxAttempts": pick("1", "2", "4"), "Permissions.SecondCopies": pick("true", "false"),
		"Permissions.Cancelling": pick("true", "false"), "Tick": pick("1", "5"),
	}, lists: map[string][]string{}}
	if c.Intn(2) == 0 {
		w.single["Safety.LookBack"], w.single["Safety.FurtherRatio"], w.single["Safety.ExtraFloor"] = "3000", "0.1", "2"
	}
	for i := range 4 {
		aim := 50 + c.Intn(1500)
		w.queryTypes = append(w.queryTypes, map[string]string{
			"Name": fmt.Sprint("type", i), "Aim": fmt.Sprint(aim),
			"Deadline": fmt.Sprint(aim + c.Intn(2000)), "Effect": pick("retryable", "dedup", "fragile"), "LateShare": pick("0", "0.03", "0.4"),
			"RepeatWindow": pick("0", "1", "150", "2000"),
		})
		need := pick("0.4", "0.75", "1")
		for name, v := range map[string]string{"NeedByClass": need, "ClassFloor": pick(need, "0.25"), "FollowUp": pick("0", "0", "2"), "ShortWorth": pick("0.5", "1")} {
			w.lists[name] = append(w.lists[name], v)
		}
	}
	for i := range 3 {
		w.tenants = append(w.tenants, map[string]string{"Name": fmt.Sprint("tenant", i), "QuotaPerS": pick("2", "20", "1000")})
	}
	return w
}

// arranged gives the settings with each class and tenant at another place and, where renamed, under another name.
func (w drawnSettings) arranged(classes, tenants []int, renamed string) map[string]string {
	all := map[string]string{"Classes.count": fmt.Sprint(len(classes)), "Tenants.count": fmt.Sprint(len(tenants))}
	for name, v := range w.single {
		all[name] = v
	}
	for list, of := range map[string][]map[string]string{"Classes": w.queryTypes, "Tenants": w.tenants} {
		to := map[string][]int{"Classes": classes, "Tenants": tenants}[list]
		for i, one := range of {
			for name, v := range one {
				if name == "Name" {
					v += renamed
				}
				all[fmt.Sprintf("%s.%d.%s", list, to[i], name)] = v
			}
		}
	}
	for name, of := range w.lists {
		there := make([]string, len(of))
		for i, v := range of {
			there[classes[i]] = v
		}
		all["Specifics."+name] = strings.Join(there, ",")
	}
	return all
}

// prepare makes a module with drawn settings and gives what is to happen to it, step by step.
func (w drawnSettings) prepare(t *testing.T, c *rand.Rand, classes, tenants []int, renamed string) (s *scenario, steps []func()) {
	s = newScenario(t, "")
	for name := range s.settings { // what the usual scenarios have of classes
		if strings.HasPrefix(name, "Classes.") {
			delete(s.settings, name)
		}
	}
	for name, v := range w.arranged(classes, tenants, renamed) {
		s.settings[name] = v
	}
	hosts := []string{"h0", "h1", "h2", "far0", "far1", "h3"}
	var entries []string
	for i, h := range hosts {
		entries = append(entries, fmt.Sprintf("%s/%d/healthy/%d", h, i%2, c.Intn(2)))
	}
	step := func(do func()) { steps = append(steps, do) }
	step(func() { s.runLine(append([]string{"start"}, entries...)) })
	step(func() { s.runLine(strings.Fields("when " + strings.Join(hosts, ",") + " Ok 30")) })
	search := func(id uint64, qtype, tenant, first, n int, grace int64, retry bool) {
		s.owedAnswers[id] = 1
		s.iterate(func() {
			s.balancer.AddSearch(id, classes[qtype], tenants[tenant], "-", grace*10, id, n, retry)
			var shards []string
			for i := range n {
				shards = append(shards, fmt.Sprint(first+i))
			}
			s.addRequests(id, id*100, strings.Join(shards, ","), "")
		})
	}
	if w.servesAllFirst { // one search of each class and tenant is answered first
		step(func() { s.playUntil(200_000) })
		for i := range max(len(classes), len(tenants)) {
			step(func() {
				search(uint64(900+i), i%len(classes), i%len(tenants), 0, 1, 60_000, false)
				s.playUntil(s.now + 20_000)
			})
		}
	}
	for id := uint64(1); id <= 150; id++ {
		if c.Intn(12) == 0 {
			host, how := hosts[c.Intn(len(hosts))], []string{"Ok", "Ok", "Failed", "QueueFull", "ConnectError", "ResetByPeer", "TimedOut"}[c.Intn(7)]
			step(func() { s.runLine([]string{"when", host, how, fmt.Sprint(1 + c.Intn(400))}) })
		}
		if c.Intn(30) == 0 {
			i := c.Intn(len(hosts))
			status := []string{"draining", "deregistered", "healthy", "healthy"}[c.Intn(4)]
			step(func() {
				s.runLine([]string{"list", "Partial", fmt.Sprintf("%s/%d/%s/%d", hosts[i], i%2, status, id*20)})
			})
		}
		qtype, tenant, n, retry, grace := c.Intn(4), c.Intn(3), 1+c.Intn(6), c.Intn(4) == 0, 60+c.Intn(1500)
		if w.servesAllFirst {
			qtype, tenant = w.queryType, w.tenant
		}
		first := c.Intn(2)
		if w.lists["FollowUp"][qtype] != "0" {
			s.secondSteps[id] = "0,1"
		}
		step(func() { search(id, qtype, tenant, first, n, int64(grace), retry) })
		if c.Intn(10) == 0 {
			step(func() {
				if s.owedAnswers[id] == 1 {
					s.runLine([]string{"withdraw", fmt.Sprint(id)})
				}
			})
		}
		wait := int64(c.Intn(400))
		step(func() { s.playUntil(s.now + wait) })
	}
	step(func() { s.playUntil(s.now + 100_000) })
	return s, steps
}

var originalOrder = [2][]int{{0, 1, 2, 3}, {0, 1, 2}}

func playAlone(t *testing.T, seed int64, classes, tenants []int, renamed string) []string {
	c := rand.New(rand.NewSource(seed))
	s, steps := drawSettings(c).prepare(t, c, classes, tenants, renamed)
	for _, do := range steps {
		do()
	}
	return s.allActions
}

// What is decided for a search follows what the settings say of its class and its tenant, not where in the lists they say
// it or under which name: the same settings in another order, with other names, give the same actions.
func TestOrderAndNamesOfQueryTypesAndTenantsDoNotMatter(t *testing.T) {
	for seed := range int64(24) {
		want := playAlone(t, seed, originalOrder[0], originalOrder[1], "")
		require.Greater(t, len(want), 100)
		c := rand.New(rand.NewSource(-1 - seed))
		classes, tenants := c.Perm(4), c.Perm(3)
		require.Equal(t, want, playAlone(t, seed, classes, tenants, "-other"), "seed %d, classes %v, tenants %v", seed, classes, tenants)
	}
}

// Two modules of one process with other settings decide what each decides alone, however their turns lie.
func TestBalancersAreIndependent(t *testing.T) {
	for seed := range int64(8) {
		var want, got [2][]string
		var stages [2]*scenario
		var steps [2][]func()
		for i := range 2 {
			of := seed*2 + int64(i)
			want[i] = playAlone(t, of, originalOrder[0], originalOrder[1], "")
			c := rand.New(rand.NewSource(of))
			stages[i], steps[i] = drawSettings(c).prepare(t, c, originalOrder[0], originalOrder[1], "")
		}
		for c := rand.New(rand.NewSource(seed)); len(steps[0])+len(steps[1]) > 0; {
			i := c.Intn(2)
			if len(steps[i]) == 0 {
				i = 1 - i
			}
			steps[i][0]()
			steps[i] = steps[i][1:]
		}
		for i := range 2 {
			got[i] = slices.Clone(stages[i].allActions)
		}
		require.Equal(t, want, got)
	}
}

// A search is handled by what the settings say of its own class and tenant whatever has been asked before: once searches of
// all have been answered, those of one class and tenant get what they get where all classes and tenants are as these.
func TestSearchFollowsItsOwnSettings(t *testing.T) {
	for seed := range int64(16) {
		get := func(alike bool) []string {
			c := rand.New(rand.NewSource(seed))
			w := drawSettings(c)
			w.servesAllFirst, w.queryType, w.tenant = true, c.Intn(4), c.Intn(3)
			w.lists["FollowUp"] = []string{"0", "0", "0", "0"} // of what is asked before each has one step
			for i := 0; alike && i < len(w.queryTypes); i++ {
				w.queryTypes[i] = w.queryTypes[w.queryType]
				for _, of := range w.lists {
					of[i] = of[w.queryType]
				}
				w.tenants[i%3] = w.tenants[w.tenant]
			}
			s, steps := w.prepare(t, c, originalOrder[0], originalOrder[1], "")
			for _, do := range steps {
				do()
			}
			return s.allActions
		}
		require.Equal(t, get(true), get(false), "seed %d", seed)
	}
}

// What one tenant has used up of its share is not taken from another's.
func TestTenantQuotasAreIndependent(t *testing.T) {
	s := newScenario(t, "facts Tenants.count=2 Tenants.0.QuotaPerS=10 Tenants.1.QuotaPerS=10\nstart a/0 b/1\nat 10000")
	c := s.state()
	s.iterate(func() {
		for range 100 {
			c.exceedsQuota(0)
		}
		require.True(t, c.exceedsQuota(0))
		require.False(t, c.exceedsQuota(1))
	})
}
