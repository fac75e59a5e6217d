// Package coordinator is one chalkring co-ordinator on sockets. Read its plan, then Serve it: the decision
// module in package balancer decides, this package carries out. docs/architecture.md tells how the files fit.
package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	"chalkring/config/settings"
	"chalkring/control/shadow"
	"chalkring/endpoints"
)

// The constants of the network. What the settings state is not among them.
const (
	bufferSize   = 16 << 10                // bytes: a head and most whole messages; 1,000 of them are 16 MB
	queueRoom    = 1024                    // events waiting for the owner: some for each descriptor of a usual limit
	clientRoom   = 4                       // answers waiting on a client's connection: clients send one at a time
	togetherMost = 8 << 10                 // bytes of messages that are written in one piece: a buffer holds two such
	togetherRoom = 64                      // messages of them: a turn's calls to one replica
	replicaRoom  = 512                     // frames waiting on a replica's: calls of 32 streams with their cancels
	clientShare  = 0.55                    // of the descriptors go to clients; a search rests on several replicas,
	replicaShare = 0.35                    // yet parts share connections; the rest is for list, log, runtime
	besideShare  = 0.05                    // of them, of that rest, go to further connects beside late ones
	memoryShare  = 0.75                    // of the memory limit is the runtime's goal: the rest is stacks, kernel
	headTime     = 2500 * time.Millisecond // for a request to come, the first from connecting: under 3 s are owed
	quietTime    = 3 * time.Second         // a client connection at rest is closed: usual clients ask several a second
	clientStall  = 5 * time.Second         // a client that takes no byte of its answer so long has left
	graceShare   = 0.5                     // of the time in which a draining replica may get new frames: lists are late
	idleShare    = 0.7                     // of the time at which replicas close what is idle: ends that race
	takeOn       = 500 * time.Millisecond  // requests still come after a stop: the platform's 0.4 s and a little
	acceptPause  = 100 * time.Millisecond  // before accepting again with no descriptor left: some will be free
	longWait     = time.Hour               // longest client timeout that is believed: bounds what is held
	watchEach    = time.Second             // between calls for changes of all co-ordinators: bounds what discovery does
	watchMost    = 20 * time.Second        // of one call for changes: a dead way shows
	watchWhole   = 2 * time.Second         // of a call for the whole list, which answers at once: a long list has so long and the slack
	watchSlack   = time.Second             // an answer later than that after the wait will not come
	askPause     = 500 * time.Millisecond  // first wait before a list that comes by itself is asked for again
	askPauseMost = 3 * time.Second         // longest such wait, half of it and so much by chance: what was missed counts as told after 6 s
	askLate      = 5 * time.Second         // from the begin of an attempt that fails to the next at the latest: what was missed counts as told after 6 s
	lossEach     = 10 * time.Millisecond   // between calls of all co-ordinators that lost discovery at once
	lossMost     = 2 * time.Second         // over which they are spread at the most: what was missed counts as told after 6 s
	lateLook     = 50 * time.Millisecond   // once more for a request whose time ran out: it may be there already
	stopQuiet    = time.Second             // without a request as the co-ordinator stops: its client has had time to close
	killLongest  = 3 * time.Second         // of client timeouts that the platform waits for between SIGTERM and SIGKILL
	killMore     = 700 * time.Millisecond  // that it waits beside
	killPad      = 200 * time.Millisecond  // kept before the kill: the signal's way here, the answer's way out
	stopMost     = 20 * time.Second        // of answers on connections that stay open: then each ends its connection
	lingerTime   = time.Second             // for a client to read its last answer and close
	lingerMost   = 256 << 10               // bytes read meanwhile: four of the longest bodies; more is cut off
	logRoom      = 1024                    // lines waiting for the log: a burst of some for each connection
	logStall     = time.Second             // for a line to be taken: a reader that is only slow needs less
	logLast      = 2 * time.Second         // for what is left of the log at the end: the process is to end soon
	logEach      = time.Second             // between two lines on one thing that strangers can repeat at will
	frameTime    = 300 * time.Millisecond  // from a frame's first byte to its last: answers fit a few packets
	doubtLeast   = 1000                    // tenths of a millisecond under a part without a word on its connection,
	doubtTimes   = 4.0                     // or so many times the usual answer: the next call takes another
	usualCount   = 100.0                   // answers that the usual answer's time rests on
	doubtMost    = 2                       // connections to a replica passed over for that: a silent replica gets no more
	socketsLeast = 16                      // descriptors that a plan has to grant: some for each side and for the list
	planMost     = 4 << 20                 // bytes of a plan, 20,000 hosts: read apart it takes 26 times as much memory
	differsMost  = 8                       // names of settings in a log line
	pastRoom     = 256                     // ids of past parts kept for a connection: some seconds of answers
	dialAgain    = 100 * time.Millisecond  // at most, for a connection to come up before another is tried: most take a few
	dialParts    = 5                       // or this part of the time to connect: the last try has over half of it left
	dialMost     = 3                       // connects for one connection: of those that come late one in three, one in 27 waits
	windowPad    = 2 * time.Millisecond    // kept off the window of repeats where they leave: their way to the replica
	silentDials  = 2                       // times the time to connect without a word: the connection is doubted
	weightSlack  = 0.01                    // that weights may miss 1 by: rounding of a hundred parts
	wordsMost    = 200                     // bytes of a replica's words in a log line
	roomShare    = 0.25                    // of the memory limit is for open searches and answers: half of the runtime's
	roomLeast    = 2 << 20                 // goal is the collector's, the rest connections. Some searches always fit
	searchBytes  = 2 << 10                 // that a search holds, here and in the module, beside its text
	partBytes    = 1 << 10                 // and each part of it, beside its value
	seedStep     = 1 << 32                 // between the seeds of several owners
	begunMost    = 20 * time.Millisecond   // for a frame that is begun to be out: a socket takes one at once
	begunTries   = 16                      // looks for it that let others run in between
	begunLook    = 100 * time.Microsecond  // between two after that
	headRoom     = 512                     // bytes for the head of an answer
	nameMore     = 24                      // bytes of a part's id behind its search's: a dot, a number, the step
	listMost     = 256                     // bytes of a part's list that need no room of their own
	spareMost    = 4096                    // wakes that are kept for the next: those of a few hundred open searches
	shadowEach   = 10 * time.Second        // between lines on what other settings would have decided otherwise
	pulseEach    = 50 * time.Millisecond   // between looks at the time while searches are open: a client may be gone for 0.1 s
	heldUp       = 50 * time.Millisecond   // after its time a wake shows that the process was held up: no turn takes so long
	heldLook     = 5 * time.Millisecond    // for what lies in sockets then to be read first: a long list is read apart in some
	heldLooks    = 10                      // such times at the most: what goes on coming is no backlog
	heldEach     = 250 * time.Millisecond  // between two such looks: who has more to do than time is not held up by them too
	lookAgain    = time.Hour               // after which a far wake is reckoned anew: the wall may have been set meanwhile
	nameMost     = 128                     // bytes of a request's id: it stands in each of its frames
)

// Plan is what one co-ordinator is told at start.
type Plan struct {
	Name, Listen, Discovery string
	MaxSockets, MemoryMB    int
	Cores                   float64

	inFile string // discovery, as the file has it
	seed   int64
	facts  map[string]string
	over   map[string]string // of facts, what an installation has put there
	next   map[string]string // facts that decisions are held against too; nil for none
	known  map[string]any
	named  map[string][]string // names as the file has them, by list of objects and place
}

// Clock tells the time and wakes.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock is the machine's.
type SystemClock struct{}

func (SystemClock) Now() time.Time                         { return time.Now() }
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options is what a co-ordinator works with.
type Options struct {
	Listener    net.Listener
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	Clock       Clock
	Logger      *slog.Logger // lines are handed to its handler by one goroutine
	PlanUpdates <-chan *Plan // that follow the first, as Reloads hands them on; may be nil

	HostKinds       map[string]HostKind     // kinds of host that speak the OpenSearch-style API; may be nil
	Frontends       []Frontend              // other ways in for clients; may be none
	Peers           *PeerOptions            // what an installation allows beside the plan; may be nil
	EndpointUpdates <-chan endpoints.Update // of hosts, from other sources than discovery; may be nil, and may be closed
	Persistence     *Persistence            // what is kept on disk; then Lists are its Lists; may be nil

	Residency   *ResidencyGuard // contracts on where parts may run; nil for none
	OnSearchEnd func(SearchEnd) // is told each search's end in a turn, so it may not wait; nil for none

	look chan<- *owner // for tests that count what is held
}

// Read takes the plan from the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY, where set,
// hold over the file.
func Read(env func(string) string) (*Plan, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := planText(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	p, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG %s: %w", path, err)
	}
	for name, into := range map[string]*string{
		"GW_NAME": &p.Name, "GW_LISTEN": &p.Listen,
		"GW_DISCOVERY": &p.Discovery,
	} {
		if v := env(name); v != "" {
			*into = v
		}
		if *into == "" {
			return nil, fmt.Errorf("%s is not set, nor is it in the file", name)
		}
	}
	p.inFile = cmp.Or(p.inFile, p.Discovery) // guards against a file that leaves it to the variable later on: it names no move
	return p, nil
}

// Parse reads the file's text and looks at all that the module will need.
func Parse(text []byte) (*Plan, error) {
	all, err := object(text)
	if err != nil {
		return nil, err
	}
	p := &Plan{Name: word(all["name"]), Listen: word(all["listen"]), Discovery: word(all["discovery"])}
	p.inFile = p.Discovery
	seed, err := strconv.ParseUint(word(all["seed"]), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q is not 16 hex digits", word(all["seed"]))
	}
	p.seed = int64(seed)
	limits, _ := all["limits"].(map[string]any)
	cores, ok1 := amount(limits["cores"])
	memory, ok2 := amount(limits["memory_mb"])
	sockets, ok3 := amount(limits["sockets"])
	if !ok1 || !ok2 || !ok3 || cores <= 0 || memory < 1 || sockets < socketsLeast {
		return nil, errors.New("limits: cores, memory_mb and sockets (16 at least) are needed")
	}
	p.Cores, p.MemoryMB, p.MaxSockets = cores, int(memory), int(sockets)
	values, ok := all["settings"].(map[string]any)
	if !ok {
		return nil, errors.New("settings are missing")
	}
	p.facts = map[string]string{}
	if err := cmp.Or(settings.Flatten(p.facts, "", values), p.readNames(values)); err != nil {
		return nil, err
	}
	if p.known, ok = all["known"].(map[string]any); !ok {
		return nil, errors.New("known is missing")
	}
	if _, _, _, err := (&owner{plan: p}).readList(p.known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return p, p.check()
}

func object(text []byte) (map[string]any, error) {
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	if _, err := d.Token(); v == nil || err != io.EOF {
		return nil, errors.New("not one JSON object")
	}
	return v, nil
}

func word(v any) string {
	s, _ := v.(string)
	return s
}

func amount(v any) (float64, bool) {
	n, ok := v.(json.Number)
	if !ok {
		return 0, false
	}
	f, err := n.Float64()
	return f, err == nil && !math.IsInf(f, 0)
}

func (p *Plan) number(name string) (float64, error) {
	text, ok := p.facts[name]
	if !ok {
		return 0, fmt.Errorf("setting %s is missing", name)
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("setting %s: %q is no number", name, text)
	}
	return v, nil
}

// fact is a number that check has seen, or 0 where the setting is not there.
func (p *Plan) fact(name string) float64 {
	v, _ := p.number(name)
	return v
}

func (p *Plan) span(name string) time.Duration {
	return time.Duration(p.fact(name) * float64(time.Millisecond))
}

func (p *Plan) list(name string) []string {
	if p.facts[name] == "" {
		return nil
	}
	return strings.Split(p.facts[name], ",")
}

// readNames keeps the names of classes and tenants as the file has them: requests bear them so, while the module's form
// has no blanks and commas. Guards against a request that is handled by what is another's: two classes, tenants or zones
// that one name stands for in either form.
func (p *Plan) readNames(values map[string]any) error {
	p.named = map[string][]string{}
	for _, list := range []string{"Classes", "Tenants"} {
		items, ok := values[list].([]any)
		if !ok && values[list] != nil {
			return fmt.Errorf("setting %s is no list of objects", list)
		}
		seen := map[string]namedAt{}
		for i, item := range items {
			m, ok := item.(map[string]any)
			if !ok {
				return fmt.Errorf("setting %s is no list of objects", list)
			}
			name, place := "", fmt.Sprintf("%s.%d.Name", list, i)
			switch v := m["Name"].(type) {
			case nil, map[string]any, []any:
			case string:
				name = v
			default:
				name = settings.FormatValue(v)
			}
			if name == "" {
				return fmt.Errorf("setting %s is missing", place)
			}
			if other, twice := seen[settings.FormatValue(name)]; twice {
				return &DuplicateNameError{place, name, other.place, other.name}
			}
			seen[settings.FormatValue(name)] = namedAt{place, name}
			p.named[list] = append(p.named[list], name)
		}
	}
	zones, _ := values["FailureDomains"].([]any)
	seen := map[string]namedAt{}
	for i, zone := range zones {
		name, place := word(zone), fmt.Sprintf("FailureDomains.%d", i)
		other, twice := seen[settings.FormatValue(name)]
		if twice && other.name != name { // one that is there twice is one zone
			return &DuplicateNameError{place, name, other.place, other.name}
		}
		seen[settings.FormatValue(name)] = namedAt{place, name}
	}
	return nil
}

type namedAt struct{ place, name string }

// DuplicateNameError are two names in the settings that a request or a host could mean by one word.
type DuplicateNameError struct{ Setting, Name, OtherSetting, OtherName string }

func (e *DuplicateNameError) Error() string {
	if e.Name == e.OtherName {
		return fmt.Sprintf("setting %s: %q is %s too", e.Setting, e.Name, e.OtherSetting)
	}
	return fmt.Sprintf("setting %s: %q cannot be told from %q in %s", e.Setting, e.Name, e.OtherName, e.OtherSetting)
}

// Advice tells an operator what to do.
func (e *DuplicateNameError) Advice() string {
	return "Give each class, tenant and zone of the plan a name of its own; a blank or a comma counts as an underscore."
}

// check looks for what is needed, so that a faulty file ends the start and not a search.
func (p *Plan) check() error {
	if p.facts["Family"] != "fanout" {
		return fmt.Errorf("setting Family: %q is not fanout", p.facts["Family"])
	}
	need := []string{
		"Balancers", "Tick", "Specifics.Sets", "Specifics.Reach", "Specifics.Ranges",
		"Specifics.PerCall", "Permissions.MaxAttempts", "Permissions.ConnIdle",
		"Permissions.DialTimeout", "Permissions.StreamsPerConn", "Classes.count",
	}
	for i := range p.count("Classes") {
		need = append(need, fmt.Sprintf("Classes.%d.Aim", i), fmt.Sprintf("Classes.%d.LateShare", i))
		if name := p.facts[fmt.Sprintf("Classes.%d.Name", i)]; name == "" {
			return fmt.Errorf("setting Classes.%d.Name is missing", i)
		}
	}
	for i := range p.count("Tenants") {
		need = append(need, fmt.Sprintf("Tenants.%d.QuotaPerS", i))
	}
	for _, name := range need {
		if v, err := p.number(name); err != nil {
			return err
		} else if v <= 0 && strings.HasPrefix(name, "Specifics.") {
			return fmt.Errorf("setting %s has to be above 0", name)
		}
	}
	for _, name := range []string{"NeedByClass", "ClassFloor", "FollowUp"} {
		if n := len(p.list("Specifics." + name)); n != p.count("Classes") {
			return fmt.Errorf("setting Specifics.%s has %d places for %d classes", name, n, p.count("Classes"))
		}
	}
	return settings.ValidateAll(p.facts, p.count("Classes"))
}

// WithSettings is the plan with an installation's settings over its own; one that is bad leaves the plan as it is.
func (p *Plan) WithSettings(over map[string]string) (*Plan, error) {
	own := *p
	own.over, own.facts = over, maps.Clone(p.facts)
	maps.Copy(own.facts, over)
	return &own, own.check()
}

// WithShadowSettings is the plan with settings that its decisions are to be held against too.
func (p *Plan) WithShadowSettings(next map[string]string) (*Plan, error) {
	then, err := p.WithSettings(next)
	if err != nil {
		return nil, fmt.Errorf("shadow: %w", err)
	}
	own := *p
	own.next = then.facts
	return &own, nil
}

// knownHosts are the entries of the list as it was last known.
func (p *Plan) knownHosts() []any {
	list, _ := p.known["servers"].([]any)
	return list
}

// LatencyObjectives are the times by which answers are in time, by type.
func (p *Plan) LatencyObjectives() []time.Duration { return p.spans("Aim") }

// spans are the types' times of one name, 0 where the settings have none.
func (p *Plan) spans(name string) (all []time.Duration) {
	for i := range p.count("Classes") {
		all = append(all, p.span(fmt.Sprintf("Classes.%d.%s", i, name)))
	}
	return all
}

// BlockCount tells how many blocks there are.
func (p *Plan) BlockCount() int { return int(p.fact("Specifics.Ranges")) }

func (p *Plan) count(list string) int { return int(p.fact(list + ".count")) }

// names gives the place of each name in a list of objects: as the file has it, and in the module's form.
func (p *Plan) names(list string) map[string]int {
	m := map[string]int{}
	for i, name := range p.named[list] {
		m[name], m[settings.FormatValue(name)] = i, i
	}
	return m
}

// whose tells one deployment's co-ordinator from others: its name, and what its hosts and searches are named and placed by.
func (p *Plan) whose() string {
	return fmt.Sprintf("%q", []any{
		p.Name, p.named["Classes"], p.named["Tenants"], p.list("FailureDomains"), p.list("MachineTypes"),
		p.facts["Specifics.Sets"], p.facts["Specifics.Reach"], p.facts["Specifics.Ranges"],
	})
}

// ApplyRuntimeLimits tells the runtime what this co-ordinator was given of its machine.
func (p *Plan) ApplyRuntimeLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(p.MemoryMB) * (1 << 20)))
}

// room is the bytes for open searches and their answers.
func (p *Plan) room() float64 { return max(roomLeast, roomShare*float64(p.MemoryMB)*(1<<20)) }

// Serve works until ctx ends and all that was taken is answered; then it returns nil, and no goroutine of
// it is left.
func (p *Plan) Serve(ctx context.Context, m Options) (err error) {
	g, work := errgroup.WithContext(context.WithoutCancel(ctx))
	stopping, stop := context.WithCancel(work)
	defer stop()
	o := &owner{
		plan: p, Options: m, log: newNotes(m.Clock, m.Logger.Handler()), g: g, ctx: work, queue: make(chan func(), queueRoom),
		start: m.Clock.Now(), searches: map[uint64]*search{}, names: map[string]bool{}, parts: map[uint64]*part{}, timers: map[uint64]*moduleWake{},
		lingering: map[*subRequest]*lingering{},
		fleet:     map[string]*replica{}, asks: make(chan struct{}, 1), moves: make(chan string), sockets: p.MaxSockets,
		blocks: p.BlockCount(), streams: int(p.fact("Permissions.StreamsPerConn")), perCall: int(p.fact("Specifics.PerCall")),
		maxAttempts: int(p.fact("Permissions.MaxAttempts")), clients: map[*link]bool{},
		room: p.room(),
	}
	for i := range p.count("Classes") {
		v, _ := strconv.ParseFloat(p.list("Specifics.FollowUp")[i], 64)
		o.followUps = append(o.followUps, int(v))
		o.keyed = append(o.keyed, p.facts[fmt.Sprintf("Classes.%d.Effect", i)] == "dedup")
		o.windows = append(o.windows, int64(p.span(fmt.Sprintf("Classes.%d.RepeatWindow", i))/tenth))
	}
	o.copies = p.facts["Permissions.SecondCopies"] == "true" || p.facts["Permissions.SecondCopies"] == "1"
	o.base = o.start.UnixMicro() / 100
	f := &front{o: o, gate: newGate(int(clientShare * float64(p.MaxSockets))), classes: p.names("Classes"), tenants: p.names("Tenants"), stopping: stopping}
	if o.module = balancer.New(o); p.next != nil {
		o.counts = &shadow.DivergenceCounts{}
		o.module = shadow.New(o, p.facts, p.next, o.counts, balancer.New)
	}
	if m.Persistence != nil {
		m.Peers = m.Persistence.peers(m.Peers)
	}
	if m.Peers != nil {
		o.peers = newLearner(o, m.Peers)
	}
	if m.Residency != nil {
		o.zones = newBounding(o, m.Residency)
		defer o.zones.leave()
	}
	if len(m.Frontends) > 0 {
		o.door, o.fronts = newDoor(o), len(m.Frontends)
		f.gate.resize(int(clientShare*float64(p.MaxSockets)) - o.door.MaxConnections)
	}
	if err := o.begin(); err != nil {
		m.Listener.Close()
		return err
	}
	if m.look != nil {
		m.look <- o
	}
	g.Go(func() error { return o.log.write(work) })
	g.Go(o.run)
	if o.peers != nil {
		o.peers.run()
	}
	if m.Persistence != nil {
		m.Persistence.run(o, ctx)
	}
	g.Go(f.accept)
	for _, front := range m.Frontends {
		g.Go(func() error {
			err := front.Serve(work, stopping, o.door)
			o.post(func() { o.fronts-- })
			return err
		})
	}
	if o.members != nil {
		g.Go(o.members.run)
	}
	g.Go(o.follow)
	g.Go(func() error { return f.reload(m.PlanUpdates) })
	g.Go(func() error { return o.windUp(ctx, stop) })
	o.log.Info("serving", "name", p.Name, "listen", m.Listener.Addr().String(), "discovery", p.Discovery,
		"sockets", p.MaxSockets, "memory_mb", p.MemoryMB, "cores", p.Cores)
	if err = g.Wait(); errors.Is(err, errDone) {
		err = nil
	}
	m.Logger.Info("stopped", "name", p.Name, "error", err)
	return err
}

var errDone = errors.New("all is answered")
