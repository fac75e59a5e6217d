package benchmark

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/cluster/replication"
	"chalkring/control/fanout"
	"chalkring/control/subscribers"
	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
	"chalkring/storage/store"
)

const (
	listEach    = 2                // processes of a region
	listLong    = 4_000            // subscriptions that are hardly ever run
	listDiffer  = 200              // of them that each region changes while it is cut off
	listWatched = 8                // of each region, run all the time, and so many that two regions have
	listEvery   = 2 * time.Second  // their period
	listNews    = 3 * time.Second  // between two changes of what hosts answer them
	listRate    = 40.0             // clients' searches a second
	listSplit   = 4 * time.Second  // that a split lasts after all is changed and restarted
	listOne     = 10 * time.Second // to one list after the last link is back
	listServed  = 15 * time.Second // more for one gateway each
	listCalm    = 5 * time.Second  // looked at after that

	listCalmMost = 13 * time.Second // and until each subscriber has a delivery
)

// listLine is what an instance last told of its list.
var listLine = regexp.MustCompile(`event=subscribers_status list_digest=(\w+) view=(\w+) gateways=\d+ subscribed=(\d+) unsubscribed=(\d+) served=(\d+).* stored_bytes=(\d+) sent_bytes=(\d+)`)

type listState struct {
	list, view                   string
	on, off, served, bytes, sent int
}

// lists are the regions' files and what has to come of them.
type lists struct {
	r          *clustertest.Cluster
	generation int
	files      map[string]map[string]listed // by region and id
	off        map[string]bool
	url        map[string]string
}

type listed struct {
	query   string
	every   time.Duration
	consent int
}

// write gives each of a region's instances its region's file.
func (l *lists) write(region string, put func(dir, text string) error, names ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "{\"region\":%q,\"generation\":%d,\"count\":%d,\"deliver\":%q}\n", region, l.generation, len(l.files[region]), l.url[region])
	for id, s := range l.files[region] {
		fmt.Fprintf(&b, "{\"tenant\":\"acme\",\"id\":%q,\"type\":\"full-match\",\"query\":%q,\"every\":%q,\"blocks\":[0,1,2],\"consent\":%d}\n", id, s.query, s.every, s.consent)
	}
	for _, name := range names {
		if err := put(name, b.String()); err != nil {
			return err
		}
	}
	return nil
}

// receivers note what came, in the order in which it came.
type receivers struct {
	mu  sync.Mutex
	got []received
}

type received struct {
	fanout.DeliveryMessage
	region string
	at     time.Time
}

func (r *receivers) take(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var d fanout.DeliveryMessage
		if json.NewDecoder(q.Body).Decode(&d) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.got = append(r.got, received{d, region, time.Now()})
	}
}

func (r *receivers) all() []received {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.got)
}

// MeasureSubscribers measures lists of subscribers on six real processes in three regions: the regions are cut off from each
// other in a drawn way, change their files on both sides, lose processes, which come back on their disks or older ones,
// and are joined again.
func MeasureSubscribers(ctx context.Context, seed int64) (out Result, err error) {
	ctx, stop := context.WithTimeout(ctx, 58*time.Second)
	defer stop()
	defer clustertest.RemoveBuilds()
	chance, got, news := rand.New(rand.NewSource(seed)), &receivers{}, atomic.Int64{}
	l := &lists{generation: 1, files: map[string]map[string]listed{}, off: map[string]bool{}, url: map[string]string{}}
	var long, watched, both []string
	for i, region := range regions {
		web := httptest.NewServer(got.take(region))
		defer web.Close()
		l.url[region], l.files[region] = web.URL+"/{tenant}", map[string]listed{}
		for k := range listLong / len(regions) {
			id := fmt.Sprintf("long-%s-%d", region, k)
			l.files[region][id], long = listed{"what " + id, 7 * 24 * time.Hour, 1}, append(long, id)
		}
		for k := range listWatched {
			id := fmt.Sprintf("watch-%s-%d", region, k)
			l.files[region][id], watched = listed{"watch " + id, listEvery, 1}, append(watched, id)
		}
		for k := range listWatched {
			id := fmt.Sprintf("watch-both-%d", k)
			if i < 2 {
				l.files[region][id] = listed{"watch " + id, listEvery, 1}
			} else {
				both = append(both, id)
			}
		}
	}
	shape := func(s *clustertest.Config) {
		for i := range s.Hosts {
			s.Hosts[i].Handler = func(p fake.ShardRequest) {
				time.AfterFunc(2*time.Millisecond, func() {
					if strings.HasPrefix(p.Text, "watch") {
						p.Reply("good", "100", fmt.Sprintf("%s news %d", p.Text, news.Load()))
					} else {
						p.ReplyGood()
					}
				})
			}
		}
	}
	r, err := startRig(ctx, seed, listEach, func(w clustertest.InstanceAddresses) string {
		_ = l.write(w.Region, func(_, text string) error {
			return os.WriteFile(filepath.Join(w.Dir, "list.jsonl"), []byte(text), 0o600)
		}, w.Name)
		return "log: {level: info}\n" + fleetText(w, map[string]string{"subscribers": "list.jsonl", "store": "fleet.db"})
	}, shape)
	if err != nil {
		return out, err
	}
	defer r.Close()
	l.r = r
	running, ended := context.WithCancel(ctx)
	defer ended()
	go func() {
		for {
			select {
			case <-time.After(listNews):
				news.Add(1)
			case <-running.Done():
				return
			}
		}
	}()
	names, step := r.InstanceNames(), time.Now()
	phases := map[string]float64{}
	phase := func(name string) {
		phases[name], step = time.Since(step).Round(100*time.Millisecond).Seconds(), time.Now()
	}
	all := len(long) + len(watched) + len(both)
	if !l.until(ctx, 30*time.Second, func(s []listState) bool { return oneList(s) && s[0].on == all && oneView(s) }) {
		return out, fmt.Errorf("no one list at the start: %+v", l.states())
	}
	phase("start")
	var answers []clustertest.ClientResult
	var clients sync.WaitGroup
	loading, loaded := context.WithCancel(ctx)
	defer loaded()
	clients.Go(func() {
		answers = r.PlaySearches(loading, r.DrawSearches(seed, "q", listRate, time.Minute, labPatience, "acme", "other"))
	})
	defer clients.Wait()
	defer loaded()

	// Who is where, and whose disk is set back.
	of := func(region string) []string {
		all, _ := sides(r, region)
		return all
	}
	order := chance.Perm(len(regions))
	x, y, z := regions[order[0]], regions[order[1]], regions[order[2]]
	restart := func(name string, between func() error) error {
		if err := r.Kill(ctx, name); err != nil {
			return err
		}
		if err := between(); err != nil {
			return err
		}
		return r.Start(ctx, name)
	}
	nothing := func() error { return nil }
	older := ""
	if chance.Intn(2) == 0 {
		older = of(x)[chance.Intn(listEach)]
		if err := restart(older, func() error { return r.CopyPath(older, "fleet.db", "older.db") }); err != nil {
			return out, err
		}
		if err := wait(ctx, 2*time.Second); err != nil {
			return out, err
		}
	}
	cut := func(from, to string, is bool) {
		for _, a := range of(from) {
			for _, b := range of(to) {
				r.EditLink(a, b, func(f *clustertest.LinkFault) { f.Cut = is })
			}
		}
	}
	around := func(region string, is bool) {
		for _, o := range regions {
			if o != region {
				cut(region, o, is)
				cut(o, region, is)
			}
		}
	}
	kind := []string{"one region", "all apart", "one way", "flaps"}[chance.Intn(4)]
	began := time.Now()
	switch kind {
	case "one region":
		around(x, true)
	case "all apart":
		around(x, true)
		around(y, true)
	case "one way":
		cut(x, y, true)
		cut(x, z, true)
	case "flaps":
		for range 1 + chance.Intn(2) {
			around(x, true)
			if err := wait(ctx, 2*time.Second); err != nil {
				return out, err
			}
			around(x, false)
			if err := wait(ctx, 2*time.Second); err != nil {
				return out, err
			}
		}
		around(x, true)
	}
	want, changed := l.change(chance, x, y, both)
	for _, region := range regions {
		if err := l.write(region, func(name, text string) error { return r.WriteFile(name, "list.jsonl", text) }, of(region)...); err != nil {
			return out, err
		}
	}
	if err := wait(ctx, listSplit/2); err != nil {
		return out, err
	}
	kills := []string{of(x)[0], of(y)[1]}
	for _, name := range kills {
		if err := restart(name, nothing); err != nil {
			return out, err
		}
	}
	if older != "" {
		kills = append(kills, older, older)
		if err := restart(older, func() error { return r.CopyPath(older, "older.db", "fleet.db") }); err != nil {
			return out, err
		}
	}
	if err := wait(ctx, listSplit); err != nil {
		return out, err
	}
	phase("split")
	if kind == "all apart" { // two heal first
		cut(y, z, false)
		cut(z, y, false)
		if err := wait(ctx, 2*time.Second); err != nil {
			return out, err
		}
	}
	sent, held := 0, 0
	for _, s := range l.states() {
		sent, held = sent-s.sent, max(held, s.bytes)
	}
	healed := time.Now()
	for _, region := range regions {
		around(region, false)
	}
	one := l.until(ctx, listOne+5*time.Second, func(s []listState) bool { return oneList(s) && s[0].on == len(want) })
	seconds := time.Since(healed).Seconds()
	for _, s := range l.states() {
		sent += s.sent
	}
	phase("one list")
	served := l.until(ctx, listServed, oneView)
	settled := time.Now()
	viewed := settled.Sub(healed).Seconds()
	phase("one view")
	if !served { // what comes after is told as it is, and not judged as calm
		settled = settled.Add(time.Hour)
	}
	if err := wait(ctx, listCalm); err != nil {
		return out, err
	}
	for served && time.Since(settled) < listCalmMost && judge(got.all(), began, settled, time.Now(), want, l.off).missing > 0 {
		if err := wait(ctx, time.Second); err != nil {
			return out, err
		}
	}
	calm := time.Now()
	// One that has left asks again, and says so in the file.
	again := changed.left[0]
	l.generation++
	l.files[x][again] = listed{"watch " + again, listEvery, 2}
	if err := l.write(x, func(name, text string) error { return r.WriteFile(name, "list.jsonl", text) }, of(x)...); err != nil {
		return out, err
	}
	back := l.until(ctx, 6*time.Second, func(s []listState) bool { return oneList(s) && s[0].on == len(want)+1 })
	asked := func() bool {
		return slices.ContainsFunc(got.all(), func(d received) bool { return d.ID == again && d.Consent == 2 })
	}
	back = l.until(ctx, 6*time.Second, func([]listState) bool { return asked() }) && back
	want[again] = true
	states := l.states()
	loaded()
	clients.Wait()
	ends := make([]error, len(names))
	var ending sync.WaitGroup
	for i, name := range names {
		ending.Go(func() { ends[i] = r.Terminate(ctx, name) })
	}
	ending.Wait()
	if err := errors.Join(ends...); err != nil {
		return out, err
	}
	phase("end")
	lost, returned, err := onDisks(ctx, r, want, l.off)
	if err != nil {
		return out, err
	}
	tally := judge(got.all(), began, settled, calm, want, l.off)
	window := calm.Sub(began)
	if served {
		window = settled.Sub(began)
	}
	bound := (len(both)+len(changed.twice))*int(window/listEvery+1) + len(kills)*(len(watched)+len(both))
	out.Fields = map[string]any{
		"split": kind, "older_disk": older != "", "entries": all, "changed": changed.count, "lost": lost, "came_back": returned,
		"served_after_leaving": tally.gone, "not_served": tally.missing, "backward": tally.backward, "two_contents": tally.twice,
		"doubled": tally.doubled, "doubled_bound": bound, "doubled_calm": tally.calm, "deliveries": tally.count,
		"one_list_seconds": round(seconds), "one_view": served, "one_view_seconds": round(viewed), "sent_bytes": sent, "list_bytes": held * len(names), "phases": phases,
	}
	out.judged(r.Judge(answers, clustertest.AuditRules{}))
	out.Fields["worth"] = round(worthOf(answers))
	miss := func(broken bool, format string, v ...any) {
		if broken {
			out.MissedGoals = append(out.MissedGoals, fmt.Sprintf(format, v...))
		}
	}
	miss(!one || seconds > listOne.Seconds(), "one list after %.1f s: %+v", seconds, states)
	miss(!served, "no one view: %+v", states)
	miss(!back, "one that asked again is not served: %+v", states)
	miss(lost > 0, "%d entries lost", lost)
	miss(returned > 0 || tally.gone > 0, "%d entries came back, %d deliveries to them", returned, tally.gone)
	miss(served && tally.missing > 0, "%d subscribers without a delivery", tally.missing)
	miss(tally.backward > 0 || tally.twice > 0, "%d numbers backward, %d with two contents", tally.backward, tally.twice)
	miss(tally.doubled > bound || tally.calm > 0, "%d deliveries doubled, bound %d, %d of them in calm", tally.doubled, bound, tally.calm)
	return out, nil
}

// changes tells what change did.
type changes struct {
	left, twice []string
	count       int
}

// change changes the files of two regions that are cut off from each other, and tells who has to be subscribed then.
func (l *lists) change(chance *rand.Rand, x, y string, both []string) (want map[string]bool, c changes) {
	l.generation++
	drop := func(region, id string) {
		delete(l.files[region], id)
		l.off[id] = true
		c.count++
	}
	for _, region := range []string{x, y} {
		for k := range listDiffer {
			id := fmt.Sprintf("long-%s-%d", region, k)
			switch k % 3 {
			case 0:
				drop(region, id)
			case 1:
				l.files[region][id] = listed{"other " + id, 7 * 24 * time.Hour, 1}
				c.count++
			default:
				l.files[region][fmt.Sprint("new-", id)] = listed{"new " + id, 7 * 24 * time.Hour, 1}
				c.count++
			}
		}
		drop(region, fmt.Sprintf("watch-%s-0", region))
		c.left = append(c.left, fmt.Sprintf("watch-%s-0", region))
		id := fmt.Sprintf("watch-%s-1", region) // the same subscriber comes at both sides
		for _, o := range []string{x, y} {
			if _, there := l.files[o][id]; !there {
				l.files[o][id] = listed{"watch " + id, listEvery, 1}
				c.twice = append(c.twice, id)
				c.count++
			}
		}
		l.files[region][fmt.Sprint("watch-new-", region)] = listed{"watch new " + region, listEvery, 1}
		c.count++
	}
	// Of those that two regions have, one side takes some off while the other changes them.
	for k, id := range both {
		here, there := x, y
		if chance.Intn(2) == 0 {
			here, there = y, x
		}
		_, one := l.files[here][id]
		_, two := l.files[there][id]
		if !one || !two { // one of the two regions has not been cut
			continue
		}
		if k%2 == 0 {
			drop(here, id)
			c.left = append(c.left, id)
		}
		l.files[there][id] = listed{"watch changed " + id, listEvery, 1}
		c.count++
	}
	want = map[string]bool{}
	for _, file := range l.files {
		for id := range file {
			if !l.off[id] {
				want[id] = true
			}
		}
	}
	return want, c
}

// states are what the instances told last.
func (l *lists) states() (all []listState) {
	for _, name := range l.r.InstanceNames() {
		var s listState
		if found := listLine.FindAllStringSubmatch(l.r.Log(name), -1); len(found) > 0 {
			m := found[len(found)-1]
			s.list, s.view = m[1], m[2]
			for i, to := range []*int{&s.on, &s.off, &s.served, &s.bytes, &s.sent} {
				*to, _ = strconv.Atoi(m[3+i])
			}
		}
		all = append(all, s)
	}
	return all
}

func oneList(states []listState) bool {
	return states[0].list != "" && !slices.ContainsFunc(states, func(s listState) bool { return s.list != states[0].list })
}

func oneView(states []listState) bool {
	return strings.Trim(states[0].view, "0") != "" && !slices.ContainsFunc(states, func(s listState) bool { return s.view != states[0].view })
}

func (l *lists) until(ctx context.Context, most time.Duration, ok func([]listState) bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if ok(l.states()) {
			return true
		}
	}
	return ok(l.states())
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// alone is the network of a store that is read.
type alone struct{}

func (alone) Send(context.Context, string, byte, []byte) error { return net.ErrClosed }
func (alone) Handle(byte, func(string, []byte))                {}

// onDisks reads what each instance's store holds: entries that have to be subscribed and are not, and the other way.
func onDisks(ctx context.Context, r *clustertest.Cluster, want, off map[string]bool) (lost, back int, err error) {
	for _, name := range r.InstanceNames() {
		kept, err := store.Open(filepath.Join(r.Addresses(name).Dir, "fleet.db"), store.Options{})
		if err != nil {
			return 0, 0, fmt.Errorf("%s: %w", name, err)
		}
		book := replication.Start(ctx, replication.Options{
			InstanceName: "reader", Incarnation: 1, Transport: alone{}, Peers: func() (a, b []string) { return nil, nil },
			OpenStorage: func(context.Context) (replication.Storage, error) { return kept, nil },
		})
		<-book.Ready()
		on := map[string]bool{}
		book.ScanPrefix(subscribers.KeyPrefix, func(e crdt.Entry) bool {
			k, _ := subscribers.ParseKey(e.Name)
			if rec, err := subscribers.ResolveEntry(e); err == nil {
				on[k.ID] = !rec.IsUnsubscribed()
			}
			return true
		})
		for id := range want {
			if !on[id] {
				lost++
			}
		}
		for id := range off {
			if on[id] && !want[id] {
				back++
			}
		}
		_ = book.Close(ctx)
		if err := kept.Close(ctx); err != nil {
			return 0, 0, err
		}
	}
	return lost, back, nil
}

// deliveriesSeen is what receivers saw.
type deliveriesSeen struct{ count, backward, twice, doubled, calm, gone, missing int }

// judge looks at deliveries in the order in which they came; between began and settled the regions were apart.
func judge(got []received, began, settled, calm time.Time, want, off map[string]bool) (t deliveriesSeen) {
	type last struct{ all, gateway subscribers.DeliveryNumber }
	content, had, top := map[string]string{}, map[string]map[string]received{}, map[string]subscribers.DeliveryNumber{}
	after := map[string]bool{}
	for _, d := range got {
		t.count++
		apart := d.at.After(began) && d.at.Before(settled)
		text := fmt.Sprint(d.Consent, d.Values)
		number := d.ID + " " + d.Number.String()
		if was, again := content[number]; again {
			if was != text {
				t.twice++
			}
			continue // the same again, which a receiver drops
		}
		content[number] = text
		for _, stream := range []string{d.ID, d.ID + " " + d.Number.Gateway} {
			if stream == d.ID && apart {
				continue
			}
			if d.Number.Compare(top[stream]) < 0 {
				t.backward++
			}
		}
		for _, stream := range []string{d.ID, d.ID + " " + d.Number.Gateway} {
			if d.Number.Compare(top[stream]) > 0 {
				top[stream] = d.Number
			}
		}
		fresh, era := false, d.at.After(settled)
		for _, v := range d.Values {
			what := fmt.Sprint(d.Consent, " ", v.Block, " ", v.Hash)
			if had[d.ID] == nil {
				had[d.ID] = map[string]received{}
			}
			if first, again := had[d.ID][what]; !again {
				fresh, had[d.ID][what] = true, d
			} else if first.at.After(began) && first.at.Before(settled) {
				era = false // what the other side had sent while they were apart
			}
		}
		if !fresh {
			if t.doubled++; era || d.at.Before(began) {
				t.calm++
			}
		}
		if d.at.After(settled) {
			if after[d.ID] = true; off[d.ID] && !(want[d.ID] && d.at.After(calm)) {
				t.gone++
			}
		}
	}
	for id := range want {
		if strings.HasPrefix(id, "watch") && !after[id] {
			t.missing++
		}
	}
	return t
}
