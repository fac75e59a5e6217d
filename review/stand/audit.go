package main

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// drain is a time in which a replica drains or is gone.
type drain struct {
	replica  string
	from, to time.Time // told; up again
}

// slack is what the pages allow on each time limit: 50 ms on sockets, and 150 ms in which a process is held up.
const slack = 200 * time.Millisecond

// audit checks all rules by what clients and replicas saw, writes each break to the record, and returns their numbers by rule.
func (w *world) audit() map[string]int {
	breaks := map[string]int{}
	say := func(rule, format string, args ...any) {
		breaks[rule]++
		if breaks[rule] <= 10 {
			w.rec.say("BROKEN "+rule+": "+format, args...)
		}
	}
	byPart := map[string][]*part{}
	var all []*part
	for _, r := range w.replicas {
		all = append(all, r.received()...)
	}
	slices.SortFunc(all, func(a, b *part) int { return a.at.Compare(b.at) })
	for _, p := range all {
		byPart[p.id] = append(byPart[p.id], p)
	}
	for _, p := range all {
		r := w.byID[p.search]
		if r == nil {
			say("void", "part %s of no search", p.id)
			continue
		}
		if !w.site.holds(p.replica.cell, p.shard) {
			say("void", "part %s at %s, which does not hold shard %d", p.id, p.replica.id, p.shard)
		}
		if !r.answered.IsZero() && p.at.After(r.answered.Add(50*time.Millisecond)) {
			say("lost", "part %s begins %.3f s after its search's answer", p.id, p.at.Sub(r.answered).Seconds())
		}
		if !r.left.IsZero() && p.at.After(r.left.Add(100*time.Millisecond+slack)) {
			say("lost", "part %s begins %.3f s after its client left", p.id, p.at.Sub(r.left).Seconds())
		}
		if left := r.sent.Add(r.deadline).Sub(p.at); p.wait > left+slack {
			say("time", "part %s is told %v, its client has %v left", p.id, p.wait, left)
		}
		for _, d := range w.drains {
			if d.replica == p.replica.id && p.at.After(d.from.Add(w.site.drainGrace+slack)) && p.at.Before(d.to) {
				say("drain", "part %s at %s %.3f s after it was told", p.id, d.replica, p.at.Sub(d.from).Seconds())
			}
		}
	}
	for id, parts := range byPart {
		r := w.byID[parts[0].search]
		if r == nil {
			continue
		}
		c := w.classOf(r.class)
		if len(parts) > w.site.attempts {
			say("attempts", "part %s has %d", id, len(parts))
		}
		for i, p := range parts {
			for _, earlier := range parts[:i] {
				mayHaveRun := earlier.ended != "later"
				if mayHaveRun && c.effect == "fragile" {
					say("duplicate", "part %s ran at %s (%q) and came again at %s after %.3f s", id, earlier.replica.id, earlier.ended, p.replica.id, p.at.Sub(earlier.at).Seconds())
				}
				if mayHaveRun && c.effect == "dedup" && p.at.Sub(earlier.at) > c.window+slack {
					say("duplicate", "part %s came again %.3f s after the first", id, p.at.Sub(earlier.at).Seconds())
				}
				if !w.site.secondCopies && w.isOut(earlier, p.at.Add(-20*time.Millisecond)) {
					say("copies", "part %s came again at %s after %.3f s while the first at %s was out", id, p.replica.id, p.at.Sub(earlier.at).Seconds(), earlier.replica.id)
				}
			}
		}
	}
	for _, r := range w.requests {
		if r.sent.IsZero() || !r.left.IsZero() && r.left.Before(r.sent.Add(r.deadline+500*time.Millisecond)) && r.leftOnPurpose {
			continue
		}
		// What SIGKILL finds unanswered is lost only if it came more than 0.7 s after SIGTERM.
		if r.answered.IsZero() && slices.ContainsFunc(w.owner[r.id].killed, func(told time.Time) bool {
			return r.sent.Before(told.Add(700*time.Millisecond)) && r.left.After(told)
		}) {
			continue
		}
		if r.answered.IsZero() || r.answered.After(r.sent.Add(r.deadline+500*time.Millisecond+slack)) {
			say("lost", "%s class %s at %.3f: %v, %.3f s after its time", r.id, r.class, w.rec.at(r.sent), r.err, r.answered.Sub(r.sent).Seconds()-r.deadline.Seconds())
			continue
		}
		w.auditAnswer(r, byPart, say)
	}
	w.auditBudget(byPart, say)
	for _, c := range w.coordinators {
		if c.hasEnded() {
			say("crash", "%s has ended", c.name)
		}
	}
	return breaks
}

// isOut tells whether a part was out at a time: not answered, given up, or cut off.
func (w *world) isOut(p *part, at time.Time) bool {
	p.replica.mu.Lock()
	defer p.replica.mu.Unlock()
	if p.ended != "" && !p.endedAt.After(at.Add(50*time.Millisecond)) {
		return false
	}
	if t, ok := p.replica.cancelled[p.id]; ok && t.Before(at.Add(50*time.Millisecond)) {
		return false
	}
	if t, ok := p.replica.closed[p.conn]; ok && t.Before(at.Add(50*time.Millisecond)) {
		return false
	}
	return p.at.Before(at)
}

func (w *world) classOf(name string) class {
	for _, c := range w.site.classes {
		if c.name == name {
			return c
		}
	}
	return class{}
}

func (w *world) auditAnswer(r *request, byPart map[string][]*part, say func(rule, format string, args ...any)) {
	c := w.classOf(r.class)
	hasGood := func(shard int, second bool) bool {
		id := r.id + "." + strconv.Itoa(shard)
		if second {
			id += ".r"
		}
		return slices.ContainsFunc(byPart[id], func(p *part) bool { return p.ended == "good" })
	}
	mayHaveRun := false
	for _, shard := range r.shards {
		for _, suffix := range []string{"", ".r"} {
			for _, p := range byPart[r.id+"."+strconv.Itoa(shard)+suffix] {
				mayHaveRun = mayHaveRun || p.ended != "later"
			}
		}
	}
	if (r.status == 503 || r.status == 429) && c.effect == "fragile" && mayHaveRun {
		say("duplicate", "%s is refused though a part may have run", r.id)
	}
	if r.status != 200 {
		return
	}
	second := c.followUp > 0
	for shard, blob := range r.answers {
		if blob != valueOf(r.text, shard, second) || !hasGood(shard, second) {
			say("honest", "%s has %q for shard %d", r.id, blob, shard)
		}
	}
	share := float64(len(r.answers)) / float64(len(r.shards))
	if second {
		first := 0
		for _, shard := range r.shards {
			if hasGood(shard, false) {
				first++
			}
		}
		share = float64(len(r.answers)) / float64(min(c.followUp, first))
	}
	if share < c.floor-1e-4 || r.total && share < c.need-1e-4 {
		say("honest", "%s has a share of %.3f, total %t", r.id, share, r.total)
	}
	for id, parts := range byPart {
		if !second || !strings.HasPrefix(id, r.id+".") || !strings.HasSuffix(id, ".r") {
			continue
		}
		for _, p := range parts {
			_, from, _ := strings.Cut(p.list, "from=")
			from, _, _ = strings.Cut(from, ",")
			for _, text := range strings.Split(from, "+") {
				shard, _ := strconv.Atoi(text)
				if !hasGood(shard, false) {
					say("honest", "%s names shard %d, which has not answered", id, shard)
				}
			}
		}
	}
}

func (w *world) auditBudget(byPart map[string][]*part, say func(rule, format string, args ...any)) {
	if w.site.budgetWindow == 0 {
		return
	}
	for _, c := range w.coordinators {
		var further, taken []time.Time
		for _, r := range w.requests {
			if w.owner[r.id] != c || r.sent.IsZero() {
				continue
			}
			taken = append(taken, r.sent)
			for range r.shards {
				taken = append(taken, r.sent)
			}
		}
		for id, parts := range byPart {
			if w.owner[parts[0].search] != c {
				continue
			}
			if strings.HasSuffix(id, ".r") {
				taken = append(taken, parts[0].at)
			}
			for _, p := range parts[1:] {
				further = append(further, p.at)
			}
		}
		slices.SortFunc(further, time.Time.Compare)
		for i, end := range further {
			from, n, m := end.Add(-w.site.budgetWindow+slack), 0, 0
			for _, t := range further[:i+1] {
				if t.After(from) {
					n++
				}
			}
			for _, t := range taken {
				if t.After(end.Add(-w.site.budgetWindow-slack)) && !t.After(end) {
					m++
				}
			}
			if float64(n) > float64(w.site.budgetFree)+w.site.budgetShare*float64(m) {
				say("budget", "%s: %d further sub-requests in the window that ends at %.3f, with %d taken", c.name, n, w.rec.at(end), m)
			}
		}
	}
}
