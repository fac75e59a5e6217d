package clustertest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkring/internal/fake"
)

const (
	tookMost = 1 << 20                // parts that are remembered; a run with more has no verdict
	grace    = time.Second            // by which an answer may miss its time, and lagTimes of what the rig was held up
	lagTimes = 8                      // instances run beside each other and the rig
	giveUp   = 4 * time.Second        // after a search's time: a client waits for no answer any more
	takeOn   = 500 * time.Millisecond // after SIGTERM in which requests are still taken
	againBy  = "~"                    // between a search's id and the number of its further tries
)

// ObservedRequest is one part as a host got it.
type ObservedRequest struct {
	Host, Zone string // the zone that discovery told for the host then
	SearchID   string // id of the client's search, without the number of the try
	AttemptID  string // that id with it
	Shard      int
	SecondStep bool // of a second step
	At         time.Time
}

// Attempt is one instance that a client asked for a search.
type Attempt struct {
	Target             string
	StartedAt, EndedAt time.Time
	WrittenAt          time.Time // when its last byte was written; zero where it was not
	Refused, Closed    bool      // the connect; the connection under the request, before its answer
	Failure            string    // empty where an answer came
}

// ClientResult is what a client saw of one search, over all its tries.
type ClientResult struct {
	ScheduledSearch
	Sent             time.Time
	Latency          time.Duration // to the final answer, or until the client gave up
	Status           int           // of the final answer, 0 for none
	Body             string
	FinalCount       int // answers that came, 1 where all is well
	Attempts         []Attempt
	StaleConnections int // kept connections that ended under it, where the other side may have closed before it had the request
}

// Audit remembers what hosts saw, and judges it with what clients saw. It asks the program nothing.
type Audit struct {
	mu    sync.Mutex
	zones map[string]string // by host, as told last
	parts []ObservedRequest
}

func (a *Audit) moved(entries []fake.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.zones = map[string]string{}
	for _, e := range entries {
		a.zones[e.ID] = e.Zone
	}
}

func (a *Audit) took(host string, p fake.ShardRequest) {
	id, second := strings.CutSuffix(p.ID, ".r")
	if dot := strings.LastIndexByte(id, '.'); dot >= 0 {
		id = id[:dot]
	}
	search, _, _ := strings.Cut(id, againBy)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.parts) <= tookMost {
		a.parts = append(a.parts, ObservedRequest{host, a.zones[host], search, id, p.Shard, second, time.Now()})
	}
}

// ShardRequests are all that hosts got so far, in order of time.
func (a *Audit) ShardRequests() []ObservedRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.parts)
}

// AuditRules are what a run is judged by, beside what always holds.
type AuditRules struct {
	AllowsZone     func(tenant, zone string, at time.Time) bool // where a tenant's parts may run; nil for everywhere
	AtMostOnce     func(kind string) bool                       // types whose parts may run once at the most; nil for none
	RequiredShards func(kind string, shards int) int            // parts that a good answer has at least; nil for three quarters
}

// Violation is an invariant that does not hold.
type Violation struct {
	Name  string // one_answer, true_answer, in_time, refused, closed, known_part, allowed_zone or once
	Count int
	First string
}

// Verdict is what came of a run.
type Verdict struct {
	Searches, Good, Shed, Failed                     int // by final answer: 200, 503, others
	Excused                                          int // lost with an instance that was killed or stopped under them
	ShardRequests, Refused, Closed, StaleConnections int
	Violations                                       []Violation
}

func (v *Verdict) broke(name, format string, more ...any) {
	for i := range v.Violations {
		if v.Violations[i].Name == name {
			v.Violations[i].Count++
			return
		}
	}
	v.Violations = append(v.Violations, Violation{name, 1, fmt.Sprintf(format, more...)})
}

// DescribeViolations puts the broken invariants into words.
func (v Verdict) DescribeViolations() (all []string) {
	for _, b := range v.Violations {
		all = append(all, fmt.Sprintf("%s broken %d times, first: %s", b.Name, b.Count, b.First))
	}
	return all
}

// Judge looks at a run. A try that failed is excused where its instance was killed or stopped while it was open; a refused
// connect also where that instance had been told to end half a second before.
func (r *Cluster) Judge(answers []ClientResult, rules AuditRules) (v Verdict) {
	parts := r.Audit.ShardRequests()
	v.ShardRequests = len(parts)
	if len(parts) > tookMost {
		v.broke("known_part", "more than %d parts: the rest is not known", tookMost)
	}
	by := map[string]*ClientResult{}
	for i := range answers {
		a := &answers[i]
		by[a.ID] = a
		v.Searches, v.StaleConnections = v.Searches+1, v.StaleConnections+a.StaleConnections
		switch {
		case a.Status == 200:
			v.Good++
		case a.Status == 503:
			v.Shed++
		case a.Status != 0:
			v.Failed++
		}
		excused := false
		for _, t := range a.Attempts {
			away := t.Failure != "" && r.away(t, t.Refused)
			excused = excused || away
			if t.Refused {
				if v.Refused++; !away {
					v.broke("refused", "%s at %s: %s", a.ID, t.Target, t.Failure)
				}
			}
			if t.Closed {
				if v.Closed++; !away {
					v.broke("closed", "%s at %s: %s", a.ID, t.Target, t.Failure)
				}
			}
		}
		switch {
		case a.FinalCount == 0 && excused:
			v.Excused++
			continue
		case a.FinalCount != 1:
			v.broke("one_answer", "%s: %d answers, %+v", a.ID, a.FinalCount, a.Attempts)
			continue
		case a.Latency > a.Patience+grace+lagTimes*time.Duration(r.lag.Load()) && !excused:
			v.broke("in_time", "%s: %v of %v, %+v", a.ID, a.Latency, a.Patience, a.Attempts)
		}
		if a.Status == 200 {
			need := (len(a.Shards)*3 + 3) / 4
			if rules.RequiredShards != nil {
				need = rules.RequiredShards(a.Type, len(a.Shards))
			}
			if fault := untrue(a, need); fault != "" {
				v.broke("true_answer", "%s: %s", a.ID, fault)
			}
		}
	}
	ran := map[string]int{}
	for _, p := range parts {
		a := by[p.SearchID]
		if a == nil {
			continue // of another run of clients
		}
		if !slices.Contains(a.Shards, p.Shard) {
			v.broke("known_part", "%s got block %d of %s, which did not ask for it", p.Host, p.Shard, p.SearchID)
		}
		if rules.AllowsZone != nil && !rules.AllowsZone(a.Tenant, p.Zone, p.At) {
			v.broke("allowed_zone", "%s in %s got block %d of %s, tenant %s", p.Host, p.Zone, p.Shard, p.SearchID, a.Tenant)
		}
		if rules.AtMostOnce != nil && rules.AtMostOnce(a.Type) {
			key := fmt.Sprint(p.SearchID, " ", p.Shard, " ", p.SecondStep)
			if ran[key]++; ran[key] == 2 {
				v.broke("once", "block %d of %s ran again on %s", p.Shard, p.SearchID, p.Host)
			}
		}
	}
	return v
}

// away tells whether an instance was not there at any moment of a try; ended: one that was asked to end was not either.
func (r *Cluster) away(t Attempt, ended bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.downs, func(d *down) bool {
		began := d.from
		if d.asked {
			began = began.Add(takeOn)
		}
		return d.name == t.Target && (!d.asked || ended) && began.Before(t.EndedAt) && (d.to.IsZero() || d.to.After(t.StartedAt))
	})
}

// untrue says what is wrong with a good answer: each block's value names the search and the block.
func untrue(a *ClientResult, need int) string {
	var m struct {
		Answers []struct {
			Range int
			Blob  string
		}
	}
	if err := json.Unmarshal([]byte(a.Body), &m); err != nil {
		return err.Error()
	}
	if len(m.Answers) < need {
		return fmt.Sprintf("%d of %d blocks where %d are needed", len(m.Answers), len(a.Shards), need)
	}
	seen := map[int]bool{}
	for _, one := range m.Answers {
		want := fmt.Sprintf("%s@%d", a.Query, one.Range)
		if seen[one.Range] || !slices.Contains(a.Shards, one.Range) || strings.TrimSuffix(one.Blob, "!") != want {
			return fmt.Sprintf("block %d holds %q", one.Range, one.Blob)
		}
		seen[one.Range] = true
	}
	return ""
}
