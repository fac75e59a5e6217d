// Package simwire carries the simulator's wire to and from the decision module. It decides nothing.
package simwire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"chalkring/balancer"
)

type entry struct {
	replica          string
	zone, kind, cell int
	status           string
	units            float64
	since            int64
}

type link struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	batch     string
	now       int64
	sets      map[int][]entry
	instances map[int]*instance
	touched   []*instance
}

// instance is one co-ordinator's module and the way its actions go out.
type instance struct {
	no   int
	l    *link
	c    balancer.Balancer
	turn bool
	dead bool // its module failed
	gone bool // killed or started anew: nothing it asked for in this batch goes out
	acts []byte
}

type fault struct{ text string }

// Serve answers batches until the input ends. A malformed line ends it with an error that names batch and
// line.
func Serve(in io.Reader, out io.Writer) (err error) {
	l := &link{
		in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		sets: map[int][]entry{}, instances: map[int]*instance{}, batch: "-",
	}
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(fault)
			if !ok {
				panic(r)
			}
			err = fmt.Errorf("batch %s, line %d: %s", l.batch, l.line, f.text)
		}
	}()
	for {
		text, ok := l.next()
		if !ok {
			return nil
		}
		f := l.split(text, "clock", 2)
		l.now, l.batch = f.time(0), f.text(1)
		f.whole(1)
		l.events()
		for _, i := range l.touched {
			i.guard(i.c.EndIteration)
			if !i.gone {
				l.out.Write(i.acts)
			}
			i.acts, i.turn = i.acts[:0], false
		}
		l.touched = l.touched[:0]
		fmt.Fprintf(l.out, "finished %s\n", l.batch)
		if err := l.out.Flush(); err != nil {
			return fmt.Errorf("batch %s: %w", l.batch, err)
		}
	}
}

func (l *link) next() (string, bool) {
	text, err := l.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", false
	}
	l.line++
	if err != nil {
		panic(fault{"the input ends inside a line"})
	}
	return strings.TrimSuffix(text, "\n"), true
}

func (l *link) must() string {
	text, ok := l.next()
	if !ok {
		panic(fault{"the input ends inside a batch"})
	}
	return text
}

// fields are the values of one line, after its name.
type fields []string

func (l *link) split(text, name string, n int) fields {
	f := strings.Split(text, " ")
	if f[0] != name {
		panic(fault{fmt.Sprintf("%q where %s should stand", f[0], name)})
	}
	if len(f)-1 != n {
		panic(fault{fmt.Sprintf("%s has %d values, not %d", name, len(f)-1, n)})
	}
	return f[1:]
}

func (f fields) text(i int) string {
	if f[i] == "" {
		panic(fault{fmt.Sprintf("value %d is empty", i+1)})
	}
	return f[i]
}

func (f fields) float(i int) float64 {
	if f[i] == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(f[i], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		panic(fault{fmt.Sprintf("value %d, %q, is no number", i+1, f[i])})
	}
	return v
}

// time turns milliseconds into whole tenths, never later than what was said.
func (f fields) time(i int) int64 { return int64(math.Floor(f.float(i)*10 + 1e-6)) }

func (f fields) whole(i int) int64 {
	if f[i] == "-" {
		return 0
	}
	v, err := strconv.ParseInt(f[i], 10, 64)
	if err != nil {
		panic(fault{fmt.Sprintf("value %d, %q, is no whole number", i+1, f[i])})
	}
	return v
}

func (f fields) id(i int) uint64 {
	v, err := strconv.ParseUint(f[i], 10, 32)
	if err != nil {
		panic(fault{fmt.Sprintf("value %d, %q, is no id", i+1, f[i])})
	}
	return v
}

func (f fields) yes(i int) bool {
	switch f[i] {
	case "1":
		return true
	case "0", "-":
		return false
	}
	panic(fault{fmt.Sprintf("value %d, %q, is neither 1 nor 0", i+1, f[i])})
}

// report reads name:value pairs; a value that is no number is a fault, a name not known is the module's to
// skip.
func (f fields) report(i int) map[string]float64 {
	if f[i] == "-" || f[i] == "" {
		return nil
	}
	m := map[string]float64{}
	for _, pair := range strings.Split(f[i], ",") {
		name, value, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			panic(fault{fmt.Sprintf("load report %q", pair)})
		}
		m[name] = v
	}
	return m
}

func (l *link) events() {
	for {
		text := l.must()
		name, _, _ := strings.Cut(text, " ")
		switch name {
		case "eob":
			return
		case "census":
			l.census(l.split(text, name, 2))
		case "start":
			l.start(text)
		case "kill":
			f := l.split(text, name, 1)
			no := int(f.whole(0))
			if i := l.instances[no]; i != nil {
				i.gone = true
			}
			delete(l.instances, no)
		default:
			l.event(name, text)
		}
	}
}

func (l *link) census(f fields) {
	n := f.whole(1)
	if n < 0 {
		panic(fault{"a list of fewer than none"})
	}
	var list []entry
	for ; n > 0; n-- {
		m := l.split(l.must(), "m", 7)
		list = append(list, entry{
			m.text(0), int(m.whole(1)), int(m.whole(2)), int(m.whole(3)), m.text(4),
			m.float(5), m.time(6),
		})
	}
	l.sets[int(f.whole(0))] = list
}

// ParseSettings are the settings as the module hears them, from the wire's pairs.
func ParseSettings(pairs []string) map[string]string {
	settings := map[string]string{}
	for _, pair := range pairs {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			panic(fault{fmt.Sprintf("setting %q has no value", pair)})
		}
		settings[name] = value
	}
	return settings
}

func (l *link) start(text string) {
	f := strings.Split(text, " ")
	if len(f) < 3 {
		panic(fault{"start has too few values"})
	}
	v := fields(f[1:])
	no, seed := int(v.whole(0)), v.whole(1)
	settings := ParseSettings(f[3:])
	if old := l.instances[no]; old != nil {
		old.gone = true
	}
	i := &instance{no: no, l: l}
	i.c = balancer.New(i)
	l.instances[no] = i
	l.touch(i)
	i.guard(func() { i.c.Configure(seed, settings) })
}

func (l *link) touch(i *instance) {
	if !i.turn {
		i.turn = true
		l.touched = append(l.touched, i)
		i.guard(func() { i.c.BeginIteration(l.now) })
	}
}

// wants says how many values the events of one instance have.
var wants = map[string]int{
	"members": 4, "inbound": 11, "first_byte": 5, "returned": 8, "withdrawn": 2,
	"fired": 2, "checked": 5, "mail": 3,
}

func (l *link) event(name, text string) {
	n, ok := wants[name]
	if !ok {
		panic(fault{fmt.Sprintf("unknown event %q", name)})
	}
	f := l.split(text, name, n)
	i := l.instances[int(f.whole(0))]
	if i == nil {
		panic(fault{fmt.Sprintf("%s for instance %s, which does not run", name, f[0])})
	}
	l.touch(i)
	switch name {
	case "members":
		how, rev := f.text(1), f.whole(2)
		if how != "Error" {
			list, ok := l.sets[int(f.whole(3))]
			if !ok {
				panic(fault{fmt.Sprintf("no list number %s", f[3])})
			}
			for _, e := range list {
				i.guard(func() { i.c.AddEndpoint(e.replica, e.zone, e.kind, e.cell, e.status, e.units, e.since) })
			}
		}
		i.guard(func() { i.c.CommitEndpoints(how, rev) })
	case "inbound":
		id, number, shard := f.id(1), uint64(f.whole(7)), int(f.whole(8))
		qtype, tenant, grace, bits := int(f.whole(2)), int(f.whole(3)), f.time(5), f.whole(10)
		f.float(6)
		if amount := f.float(9); shard < 0 {
			i.guard(func() { i.c.AddSearch(id, qtype, tenant, f[4], grace, number, int(amount), bits&2 != 0) })
		} else {
			i.guard(func() { i.c.AddShardRequest(id, number, shard, amount) })
		}
	case "returned":
		part, leg, ending, wait := f.id(1), int(f.whole(2)), f.text(4), f.time(5)
		over, report := f.yes(6), f.report(7)
		i.guard(func() { i.c.RecordAttemptOutcome(part, leg, ending, wait, over, report) })
	case "checked":
		ending, replica, wait, report := f.text(1), f.text(2), f.time(3), f.report(4)
		i.guard(func() { i.c.RecordProbeResult(replica, ending, wait, report) })
	case "withdrawn":
		id := f.id(1)
		i.guard(func() { i.c.CancelSearch(id) })
	case "fired":
		label := uint64(f.whole(1))
		i.guard(func() { i.c.HandleTimer(label) })
	case "first_byte", "mail": // no streamed types and no peers here
	}
}

// guard keeps a failure of one instance's module from the others: it is reported as that instance's.
func (i *instance) guard(step func()) {
	if i.dead || i.gone {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			if f, ok := r.(fault); ok {
				panic(f)
			}
			i.dead = true
			i.act("die", strings.Join(strings.Fields(fmt.Sprint(r)), " "))
		}
	}()
	step()
}

func (i *instance) act(name string, values ...any) {
	i.acts = fmt.Appendf(i.acts, "%s %d", name, i.no)
	for _, v := range values {
		i.acts = fmt.Appendf(i.acts, " %v", v)
	}
	i.acts = append(i.acts, '\n')
}

func ms(t int64) string { return strconv.FormatFloat(float64(t)/10, 'f', 1, 64) }

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (i *instance) SendAttempt(part uint64, replica string, timeout int64) {
	i.act("route", part, replica, ms(timeout))
}
func (i *instance) CancelAttempt(part uint64, leg int)      { i.act("stop_attempt", part, leg) }
func (i *instance) AnswerSearch(search uint64, whole bool)  { i.act("settle_query", search, bit(whole)) }
func (i *instance) ShedSearch(search uint64, retryIn int64) { i.act("bounce", search, ms(retryIn)) }
func (i *instance) FailSearch(search uint64)                { i.act("report_failure", search) }
func (i *instance) SetTimer(wait int64, label uint64)       { i.act("notify_me", ms(wait), label) }
func (i *instance) CancelTimer(uint64)                      {} // the wire has no such word; Timer ignores it
func (i *instance) ProbeReplica(replica string)             { i.act("health_check", replica) }
func (i *instance) WatchEndpoints()                         { i.act("track", 1) }
func (i *instance) LogMessage(text string)                  { i.act("log", text) }
