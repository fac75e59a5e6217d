package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/metrics"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/config"
	"chalkring/control/residency"
	"chalkring/control/rollout"
	"chalkring/coordinator"
	"chalkring/internal/advice"
)

const (
	rolloutBucket = "rollout"
	standingKey   = "standing"
	openWait      = 10 * time.Second       // for the store at a start: the instance has to know what it runs
	lastWrite     = 200 * time.Millisecond // for what is kept beside to be written at the start of a stop
	keepWait      = 5 * time.Second        // for a line of it to be on the disk before a step
	triesMost     = 2                      // starts into a change that may be cut off before it is given up
	startsMost    = 5                      // starts that nobody asked for, after which an instance goes back by itself
	fileEach      = 500 * time.Millisecond // between looks at the change file
	serveEach     = 50 * time.Millisecond  // between looks whether this instance answers
	lookLeast     = 50 * time.Millisecond  // between two looks of the desk
	lookMost      = time.Second            // and at the longest: a restart is not to wait for a word
	memoryMetric  = "/memory/classes/total:bytes"
)

// standing is what an instance keeps on its disk about changes; later versions may add to it.
type standing struct {
	Runs   *rollout.Change `cbor:"1,keyasint"` // nil for the own files
	Before *rollout.Change `cbor:"2,keyasint"` // what it ran before that
	Try    *try            `cbor:"3,keyasint"` // a step that is begun and not ended
	Turn   uint64          `cbor:"4,keyasint"` // in which Runs was taken
	Starts int             `cbor:"5,keyasint"` // with Runs that nobody asked for
	Clean  bool            `cbor:"6,keyasint"` // the last life ended as it was told to
	Failed uint64          `cbor:"7,keyasint"` // turn in which Number could not be taken
	Number uint64          `cbor:"8,keyasint"`
	Why    string          `cbor:"9,keyasint"`
}

type try struct {
	To    *rollout.Change `cbor:"1,keyasint"` // nil for the own files
	Turn  uint64          `cbor:"2,keyasint"`
	Count int             `cbor:"3,keyasint"` // starts into it
	Ready int64           `cbor:"4,keyasint"`
}

func numberOf(c *rollout.Change) uint64 {
	if c == nil {
		return 0
	}
	return c.Number
}

// NoStore is an installation that takes part in changes and keeps nothing on disk.
type NoStore struct{}

func (*NoStore) Error() string { return "fleet.rollout without fleet.store" }

// Advice tells an operator what to do.
func (*NoStore) Advice() string {
	return "Name a file in `fleet.store`: an instance has to know after a crash what it was running."
}

// WrongVersion is a program that is not the one that a change means.
type WrongVersion struct{ Path, Want, Got string }

func (e *WrongVersion) Error() string {
	return fmt.Sprintf("%s tells version %.80q, not %q", e.Path, e.Got, e.Want)
}

// Advice tells an operator what to do.
func (e *WrongVersion) Advice() string {
	return "Put the program that the change means at its path on every instance, or mend program.version in a change with a new number."
}

// stages is this instance's part in changes in stages.
type stages struct {
	*sharing
	keeper *os.File
	ln     net.Listener
	state  standing
	missed bool // the store was not there in time: what it keeps is not known, and is left as it is
	kept   bool // what the last life promised is known: it ended as it was told to
	desk   *rollout.Controller
	site   residency.Site // of the plan
	sums   sums
	inside chan net.Conn            // to it from within, past the socket: another process may hold that too
	own    *coordinator.Persistence // what is kept beside, nil for nothing
	alone  bool                     // nothing but the socket, the store and the network is held
	stop   context.CancelFunc       // the serving
	done   chan struct{}
}

// rolls tells whether an installation takes part in changes.
func rolls(file *config.File) bool { return file.Fleet != nil && file.Fleet.RolloutFile != "" }

// checkRollout looks at the change file that an installation names, if there is one now, and at what it needs.
func checkRollout(file *config.File) error {
	if file.Fleet.StoreFile == "" {
		return &NoStore{}
	}
	text, err := os.ReadFile(file.Fleet.RolloutFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		_, err = rollout.ParseChangeFile(file.Fleet.RolloutFile, text)
	}
	return err
}

var errHanded = errors.New("another program takes over")

// stagesOf finds out what this process is to run. errHanded: another program is, and the keeper starts it.
func stagesOf(s *sharing) (*stages, error) {
	if s.file.StoreFile == "" {
		return nil, &NoStore{}
	}
	st := &stages{sharing: s, inside: make(chan net.Conn), done: make(chan struct{})}
	var err error
	if st.keeper, st.ln, err = toKeeper(); err != nil {
		return nil, err
	}
	select {
	case <-s.opened:
	case <-time.After(openWait): // guards against a disk that hangs: searches go first
	}
	select {
	case <-s.shared.Ready(): // what was promised before is known
	case <-time.After(openWait):
	}
	st.load()
	if t := st.state.Try; t != nil {
		switch fell := os.Getenv(fellEnv); {
		case fell != "":
			st.fail(numberOf(t.To), t.Turn, fell)
		case t.Count >= triesMost:
			st.fail(numberOf(t.To), t.Turn, fmt.Sprintf("ended %d times before it served", t.Count))
		default:
			t.Count++
		}
	} else {
		if !st.state.Clean {
			st.state.Starts++
		}
		if st.state.Starts > startsMost && st.state.Runs != nil { // guards against a crash loop too quick to be talked about
			st.fail(st.state.Runs.Number, st.state.Turn, fmt.Sprintf("started %d times by itself", st.state.Starts))
			st.state.Runs, st.state.Before, st.state.Starts = st.state.Before, nil, 0
		}
	}
	st.state.Clean = false
	st.save()
	program := os.Getenv(ownEnv)
	if c := st.runs(); c != nil && c.Program.Path != "" {
		program = c.Program.Path
	}
	if program != os.Getenv(keptEnv) {
		ready := openWait
		if t := st.state.Try; t != nil {
			t.Count-- // the start that counts is the next
			ready = time.Duration(t.Ready) * tenth
		}
		st.state.Clean = true
		st.save()
		if err := tellKeeper(st.keeper, said{Next: &next{program, ready, true}}); err != nil {
			return nil, err
		}
		return nil, errHanded
	}
	return st, nil
}

const tenth = 100 * time.Microsecond

// runs is the change that this process runs, nil for the own files.
func (st *stages) runs() *rollout.Change {
	if st.state.Try != nil {
		return st.state.Try.To
	}
	return st.state.Runs
}

func (st *stages) fail(number, turn uint64, why string) {
	st.log.Error("rollout_not_applied", advice.LogAttrs(&rollout.ChangeNotAppliedError{Number: number, Reason: why})...)
	st.state.Try, st.state.Number, st.state.Failed, st.state.Why = nil, number, turn, why
}

func (st *stages) load() {
	select {
	case <-st.opened:
	default:
		st.missed = true
		return
	}
	if st.store == nil {
		return
	}
	text, found, err := st.store.Get(rolloutBucket, standingKey)
	if err == nil && found {
		err = cbor.Unmarshal(text, &st.state)
	}
	if err != nil {
		st.state = standing{}
		st.log.Error("rollout_store", advice.LogAttrs(err, "path", st.file.StoreFile)...)
		return
	}
	if st.kept = found && st.state.Clean; !found { // a crash may have cut off the last words to the disk
		st.state.Clean = true
	}
}

// save has what is known on the disk; an instance that cannot keep it takes no step.
func (st *stages) save() error {
	select {
	case <-st.opened:
	default:
		return context.DeadlineExceeded
	}
	if st.missed {
		return context.DeadlineExceeded
	}
	if st.store == nil {
		return &NoStore{}
	}
	text, err := cbor.Marshal(st.state)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), keepWait)
	defer stop()
	err = st.store.Put(ctx, rolloutBucket, map[string][]byte{standingKey: text}, nil)
	if err != nil {
		st.log.Error("rollout_store", advice.LogAttrs(err, "path", st.file.StoreFile)...)
	}
	return err
}

// OtherPlan is a change whose settings do not fit this instance's plan.
type OtherPlan struct {
	Number  uint64
	Setting string
	Why     string
}

func (e *OtherPlan) Error() string {
	return fmt.Sprintf("change %d does not fit this plan: %s %s", e.Number, e.Setting, e.Why)
}

// Advice tells an operator what to do.
func (e *OtherPlan) Advice() string {
	return "Give all instances plans with the same classes and tenants in the same order, or take the change back; `Name` beside a setting of a class or tenant says which is meant."
}

// fits looks whether a change's settings mean what this instance's plan has at their places.
func (st *stages) fits(c *rollout.Change) error {
	if c == nil {
		return nil
	}
	wrong := config.MisplacedSettings(c.Settings, st.site.Classes, st.site.Tenants)
	for _, name := range slices.Sorted(maps.Keys(wrong)) { // the same fault each time
		return &OtherPlan{c.Number, name, wrong[name]}
	}
	return nil
}

// laid puts the change that runs over an installation's settings.
func (st *stages) laid(file *config.File, plan *coordinator.Plan) (*coordinator.Plan, error) {
	st.sums.aims = plan.LatencyObjectives() // both sides are held against the same
	st.site = plan.ResidencySite()
	c := st.runs()
	if err := st.fits(c); err != nil {
		return nil, err
	}
	if c == nil {
		return plan, nil
	}
	over := config.FlattenSettings(file.Settings)
	maps.Copy(over, c.Settings)
	return plan.WithSettings(over)
}

// serving is the context of the serving: it ends for a step too. means is given what counts for the comparison.
func (st *stages) serving(ctx context.Context, means *coordinator.Options) context.Context {
	ctx, st.stop = context.WithCancel(ctx)
	st.alone = (means.Peers == nil || means.Peers.Listener == nil) && len(means.Frontends) == 0
	st.own = means.Persistence
	means.Listener, means.OnSearchEnd = newDoorway(st.ln, st.inside), st.sums.ended
	dial := means.Dial
	means.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		st.sums.connects.Add(1)
		return dial(ctx, network, addr)
	}
	go st.run(ctx)
	return ctx
}

// end is the end of a life that was told to end.
func (st *stages) end() {
	if st.stop == nil { // it never served
		return
	}
	st.stop()
	<-st.done
	if st.handing { // it has said so before
		return
	}
	st.state.Clean = true
	st.save()
}

// run looks again and again until the serving ends.
func (st *stages) run(ctx context.Context) {
	defer close(st.done)
	me := st.book.Self()
	st.desk = rollout.New(rollout.InitialState{
		Self: rollout.Instance{Name: me.Name, Region: me.Region, Zone: me.Zone}, Incarnation: me.Incarnation,
		Members: st.file.VotingMembers, RunningNumber: numberOf(st.runs()), FailedEpoch: st.state.Failed, FailedNumber: st.state.Number, FailureReason: st.state.Why,
		UnplannedRestarts: st.state.Starts, NoSavedState: !st.kept, Now: st.clock(),
	})
	stirred, unwatch := st.shared.Watch(rollout.KeyPrefix)
	defer unwatch()
	serves := make(chan struct{})
	go st.awaitServing(ctx, serves)
	seen := map[string]uint64{}
	var text []byte
	looked := time.Time{}
	for {
		select {
		case <-serves: // once: nil is never ready
			serves = nil
			st.taken()
		default:
		}
		if time.Since(looked) > fileEach {
			looked = time.Now()
			text = st.read(text)
		}
		now := st.clock()
		var news []crdt.Entry
		st.shared.ScanPrefix(rollout.KeyPrefix, func(e crdt.Entry) bool {
			if sum := sumOf(e); seen[e.Name] != sum {
				seen[e.Name] = sum
				news = append(news, e)
			}
			return true
		})
		for _, e := range news {
			for _, one := range e.Siblings {
				if one.Deleted {
					continue
				}
				if err := st.desk.HandleEntry(now, e.Name, one.Value); err != nil {
					st.log.Warn("rollout_entry", advice.LogAttrs(err)...)
				}
			}
		}
		var places []rollout.Instance
		for _, m := range st.book.Members() {
			places = append(places, rollout.Instance{Name: m.Name, Region: m.Region, Zone: m.Zone})
		}
		st.desk.SetInstances(places, st.book.NameConflicts())
		st.desk.SetStats(st.sums.now())
		out := st.desk.Decide(now)
		for name, value := range out.Put {
			if _, err := st.shared.Put(name, value); err != nil {
				st.log.Warn("rollout_put", advice.LogAttrs(err, "name", name)...)
			}
		}
		for _, name := range out.Delete {
			if _, err := st.shared.Delete(name); err != nil {
				st.log.Warn("rollout_put", advice.LogAttrs(err, "name", name)...)
			}
		}
		for _, n := range out.Events {
			if n.Err != nil {
				st.log.Warn(n.Name, advice.LogAttrs(n.Err, n.Attrs...)...)
			} else {
				st.log.Info(n.Name, n.Attrs...)
			}
		}
		if out.Restart != nil {
			if err := st.step(ctx, out.Restart); err != nil {
				st.log.Error("rollout_not_applied", advice.LogAttrs(err, "number", out.Restart.TargetNumber)...)
				st.desk.RecordRestartFailure(err.Error())
			} else {
				st.stop()
				return
			}
		}
		wait := min(max(time.Duration(out.NextDecisionAt-now)*tenth, lookLeast), lookMost)
		select {
		case <-time.After(lookLeast):
		case <-ctx.Done():
			return
		}
		select {
		case <-stirred:
		case <-serves:
		case <-time.After(wait - lookLeast):
		case <-ctx.Done():
			return
		}
	}
}

// sumOf tells states of an entry apart.
func sumOf(e crdt.Entry) uint64 {
	sum := xxhash.New()
	for _, one := range e.Siblings {
		fmt.Fprint(sum, one.Dot, one.Deleted)
	}
	return sum.Sum64()
}

// taken ends a step that went well.
func (st *stages) taken() {
	if t := st.state.Try; t != nil {
		st.state.Before, st.state.Runs, st.state.Turn, st.state.Try = st.state.Runs, t.To, t.Turn, nil
		st.state.Starts, st.state.Failed, st.state.Number, st.state.Why = 0, 0, 0, ""
	}
	st.save()
	if err := tellKeeper(st.keeper, said{Serving: true}); err != nil {
		st.log.Error("rollout_supervisor", "error", err)
	}
	me := st.book.Self()
	me.SettingsGeneration = numberOf(st.state.Runs)
	if err := st.node.UpdateSelf(me); err != nil {
		st.log.Warn("rollout_put", advice.LogAttrs(err, "name", me.Name)...)
	}
	st.desk.MarkServing(st.clock())
	st.log.Info("rollout_serving", "number", numberOf(st.state.Runs), "previous", numberOf(st.state.Before))
}

// step has this process followed by one that runs the change.
func (st *stages) step(ctx context.Context, s *rollout.Restart) error {
	if err := st.fits(s.Change); err != nil {
		return err
	}
	program := os.Getenv(ownEnv)
	if s.Change != nil && s.Change.Program.Path != "" {
		program = s.Change.Program.Path
		got, err := versionOf(ctx, program)
		if err != nil {
			return &WrongVersion{program, s.Change.Program.Version, err.Error()}
		}
		if !strings.HasPrefix(got, s.Change.Program.Version) {
			return &WrongVersion{program, s.Change.Program.Version, got}
		}
	}
	st.state.Try = &try{To: s.Change, Turn: s.Epoch, Ready: s.ReadyTimeout}
	st.state.Clean = true
	if err := st.save(); err != nil {
		st.state.Try = nil
		return err
	}
	st.handing = true
	st.stop()
	if st.alone { // the next begins while this one answers what it holds
		time.Sleep(lastWrite)
		st.leave()
		if st.own != nil {
			st.own.Close()
		}
	}
	return tellKeeper(st.keeper, said{Next: &next{program, time.Duration(s.ReadyTimeout) * tenth, !st.alone}})
}

// awaitServing asks this instance itself until it serves.
func (st *stages) awaitServing(ctx context.Context, serves chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			here, there := net.Pipe()
			select {
			case st.inside <- there:
				return here, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://inside/healthz", nil)
		if err == nil {
			if res, err := client.Do(req); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					close(serves)
					return
				}
			}
		}
		select {
		case <-time.After(serveEach):
		case <-ctx.Done():
			return
		}
	}
}

// doorway is a listener that takes connections from within too.
type doorway struct {
	net.Listener
	inside <-chan net.Conn
	taken  chan took
}

type took struct {
	conn net.Conn
	err  error
}

func newDoorway(ln net.Listener, inside <-chan net.Conn) *doorway {
	d := &doorway{Listener: ln, inside: inside, taken: make(chan took)}
	go func() {
		for {
			conn, err := ln.Accept()
			d.taken <- took{conn, err} // what was taken before the close is answered too
			if errors.Is(err, net.ErrClosed) {
				return
			}
		}
	}()
	return d
}

func (d *doorway) Accept() (net.Conn, error) {
	select {
	case t := <-d.taken:
		return t.conn, t.err
	case conn := <-d.inside:
		return conn, nil
	}
}

// read looks at the change file; what cannot be used is told once and changes nothing.
func (st *stages) read(before []byte) []byte {
	text, err := os.ReadFile(st.file.RolloutFile)
	if errors.Is(err, os.ErrNotExist) {
		st.desk.SetFile(nil)
		return nil
	}
	if err != nil {
		if before != nil {
			st.log.Warn("rollout_file", advice.LogAttrs(&rollout.InvalidChangeFileError{Path: st.file.RolloutFile, Err: err})...)
		}
		return nil
	}
	if bytes.Equal(text, before) {
		return before
	}
	f, err := rollout.ParseChangeFile(st.file.RolloutFile, text)
	if err != nil {
		st.log.Warn("rollout_file", advice.LogAttrs(err)...)
		return text
	}
	st.log.Info("rollout_file", "change", f.Change.Name, "number", f.Change.Number, "order", f.Order, "turn", f.Epoch)
	st.desk.SetFile(f)
	return text
}

// sums are counted by the owner as searches end, and read beside it.
type sums struct {
	connects atomic.Uint64
	classes  [rollout.MaxClasses]struct {
		asked, served, late, shed atomic.Uint64
		times                     [rollout.LatencyBucketCount]atomic.Uint64
		subs                      [rollout.SubRequestBucketCount]atomic.Uint64
	}
	aims []time.Duration // by when answers of each class are in time
}

// ended is the owner's: it waits for nothing.
func (s *sums) ended(e coordinator.SearchEnd) {
	if e.Type < 0 || e.Type >= len(s.classes) {
		return
	}
	c := &s.classes[e.Type]
	c.asked.Add(1)
	c.subs[rollout.SubRequestBucket(e.Attempts)].Add(1)
	switch e.Outcome {
	case coordinator.OutcomeAnswered:
		c.served.Add(1)
		c.times[rollout.LatencyBucket(int64(e.Duration/tenth))].Add(1)
		if e.Type < len(s.aims) && e.Duration > s.aims[e.Type] {
			c.late.Add(1)
		}
	case coordinator.OutcomeShed:
		c.shed.Add(1)
	}
}

// now is how they stand. Those that went well are read first, so that they are never more than were asked.
func (s *sums) now() rollout.InstanceStats {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	all := rollout.InstanceStats{Connections: s.connects.Load(), MemoryBytes: sample[0].Value.Uint64(), Classes: make([]rollout.ClassStats, max(1, min(len(s.aims), len(s.classes))))}
	for i := range all.Classes {
		from, c := &s.classes[i], &all.Classes[i]
		c.Late, c.Shed, c.Served = from.late.Load(), from.shed.Load(), from.served.Load()
		for b := range c.Latencies {
			c.Latencies[b] = from.times[b].Load()
		}
		for b := range c.SubRequests {
			c.SubRequests[b] = from.subs[b].Load()
		}
		c.Requests = from.asked.Load()
	}
	return all
}
