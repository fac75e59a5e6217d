package clustertest

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	eventsMost = 1000
	longest    = 10 * time.Minute // of a schedule
)

// Event is one line of a schedule.
type Event struct {
	At   time.Duration // from the start
	Verb string
	Args []string
}

// Schedule is faults at their times. Its text is one line for an event, with # before remarks:
//
//	seed 7
//	at 3.2s cut a>b               one way; a<>b both ways; a,b<>c,d and * name several
//	at 3.2s delay a<>b 40ms 20ms  the second is jitter
//	at 3.3s drop a>* 0.3          share of datagrams; so large a share of a stream's pieces is late
//	at 3.4s trickle a>b 200       bytes a second
//	at 3.5s hang a>b
//	at 3.6s refuse a>b
//	at 3.7s reset a>b             once: the connections that are open
//	at 5s heal a<>b               or all links: heal
//	at 4s kill c                  likewise stop, cont, hup, term and start; several: c,d
//	at 4s do tighten acme         what a caller has named for Play
type Schedule struct {
	Seed   int64
	Events []Event
}

// InvalidLineError is a line of a schedule that cannot be used.
type InvalidLineError struct {
	Line   int
	Text   string
	Reason string
}

func (e *InvalidLineError) Error() string {
	return fmt.Sprintf("schedule, line %d, %q: %s", e.Line, e.Text, e.Reason)
}

// Advice says what to do.
func (e *InvalidLineError) Advice() string {
	return "write the line as the comment of rig.Schedule shows, or take it out"
}

// verbs with the number of their arguments, least and most.
var linkVerbs = map[string][2]int{
	"cut": {1, 1}, "delay": {2, 3}, "drop": {2, 2}, "trickle": {2, 2}, "hang": {1, 1},
	"refuse": {1, 1}, "reset": {1, 1}, "heal": {0, 1},
}

var processVerbs = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT,
	"hup": syscall.SIGHUP, "term": syscall.SIGTERM, "start": 0,
}

// String is the schedule's text, which Parse reads.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", s.Seed)
	for _, e := range s.Events {
		fmt.Fprintln(&b, strings.Join(append([]string{"at", e.At.String(), e.Verb}, e.Args...), " "))
	}
	return b.String()
}

// ParseSchedule reads a schedule; events stand in order of time.
func ParseSchedule(text string) (s Schedule, err error) {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		plain, _, _ := strings.Cut(line, "#")
		words := strings.Fields(plain)
		bad := func(why string) (Schedule, error) { return Schedule{}, &InvalidLineError{i + 1, line, why} }
		switch {
		case len(words) == 0:
		case words[0] == "seed" && len(words) == 2 && len(s.Events) == 0:
			if s.Seed, err = strconv.ParseInt(words[1], 10, 64); err != nil {
				return bad("the seed is no whole number")
			}
		case words[0] != "at" || len(words) < 3:
			return bad("neither seed NUMBER, before all events, nor at TIME VERB")
		default:
			e := Event{Verb: words[2], Args: words[3:]}
			if e.At, err = time.ParseDuration(words[1]); err != nil || e.At < 0 || e.At > longest {
				return bad(fmt.Sprintf("%s is no time up to %v", words[1], longest))
			}
			if n := len(s.Events); n == eventsMost {
				return bad("too many events")
			} else if n > 0 && s.Events[n-1].At > e.At {
				return bad("earlier than the line before")
			}
			if why := e.check(); why != "" {
				return bad(why)
			}
			s.Events = append(s.Events, e)
		}
	}
	return s, nil
}

func (e Event) check() string {
	_, process := processVerbs[e.Verb]
	many, link := linkVerbs[e.Verb]
	switch {
	case e.Verb == "do":
		many = [2]int{1, 16}
	case process:
		many = [2]int{1, 1}
	case !link:
		return "no such verb"
	}
	if n := len(e.Args); n < many[0] || n > many[1] {
		return fmt.Sprintf("%d arguments where %d to %d are wanted", n, many[0], many[1])
	}
	if link && len(e.Args) > 0 {
		if from, to, _, ok := ends(e.Args[0]); !ok || from == "" || to == "" {
			return "the link is neither A>B nor A<>B"
		}
		if _, err := e.fault(); err != nil {
			return err.Error()
		}
	}
	return ""
}

func ends(link string) (from, to string, both, ok bool) {
	if from, to, ok = strings.Cut(link, "<>"); ok {
		return from, to, true, true
	}
	from, to, ok = strings.Cut(link, ">")
	return from, to, false, ok
}

// fault is what a link's event does to it.
func (e Event) fault() (func(f *LinkFault), error) {
	var times []time.Duration
	var number float64
	for _, word := range e.Args[min(1, len(e.Args)):] {
		if e.Verb == "delay" {
			d, err := time.ParseDuration(word)
			if err != nil || d < 0 || d > time.Minute {
				return nil, fmt.Errorf("%s is no time up to a minute", word)
			}
			times = append(times, d)
			continue
		}
		v, err := strconv.ParseFloat(word, 64)
		if err != nil || !(v > 0) || e.Verb == "drop" && v > 1 || e.Verb == "trickle" && (v < 1 || v > 1e9) {
			return nil, fmt.Errorf("%s is out of range", word)
		}
		number = v
	}
	return func(f *LinkFault) {
		switch e.Verb {
		case "cut":
			f.Cut = true
		case "hang":
			f.Hang = true
		case "refuse":
			f.Refuse = true
		case "drop":
			f.Drop = number
		case "trickle":
			f.BytesPerSecond = int(number)
		case "delay":
			if f.Delay, f.Jitter = times[0], 0; len(times) > 1 {
				f.Jitter = times[1]
			}
		case "heal":
			*f = LinkFault{}
		}
	}, nil
}

// DrawSchedule makes a schedule of a seed: so many troubles on the named instances within a time, of the verbs that are given,
// each ended again before the time is over; at the end all links are healed and all instances run. At most keep of the
// instances are killed or stopped at once. One link in three goes to what is far: hosts, discovery. Among the verbs may be
// split, a cut that parts all instances in two sides.
func DrawSchedule(seed int64, names, far []string, troubles int, length time.Duration, keep int, verbs ...string) Schedule {
	chance, s := rand.New(rand.NewSource(seed)), Schedule{Seed: seed}
	add := func(at time.Duration, verb string, args ...string) {
		s.Events = append(s.Events, Event{at.Round(time.Millisecond), verb, args})
	}
	gone := map[string][][2]time.Duration{}
	for range troubles {
		at := time.Duration(chance.Int63n(int64(length * 3 / 4)))
		lasts := length/20 + time.Duration(chance.Int63n(int64(min(length/4, length-at-length/20))))
		verb, a := verbs[chance.Intn(len(verbs))], names[chance.Intn(len(names))]
		b := names[chance.Intn(len(names))]
		for b == a && len(names) > 1 {
			b = names[chance.Intn(len(names))]
		}
		if len(far) > 0 && chance.Intn(3) == 0 {
			b = far[chance.Intn(len(far))]
		}
		link := a + []string{">", "<>"}[chance.Intn(2)] + b
		if verb == "split" && len(names) > 1 {
			order := chance.Perm(len(names))
			at := 1 + chance.Intn(len(names)-1)
			side := func(some []int) string {
				var all []string
				for _, i := range some {
					all = append(all, names[i])
				}
				return strings.Join(all, ",")
			}
			verb, link = "cut", side(order[:at])+"<>"+side(order[at:])
		}
		back := map[string]string{"kill": "start", "stop": "cont", "term": "start"}[verb]
		if back == "" {
			args := []string{link}
			switch verb {
			case "delay":
				args = append(args, fmt.Sprint(time.Duration(5+chance.Intn(100))*time.Millisecond),
					fmt.Sprint(time.Duration(1+chance.Intn(50))*time.Millisecond))
			case "drop":
				args = append(args, strconv.FormatFloat(float64(1+chance.Intn(6))/10, 'g', -1, 64))
			case "trickle":
				args = append(args, strconv.Itoa(100+chance.Intn(4000)))
			}
			if add(at, verb, args...); verb != "reset" {
				add(at+lasts, "heal", link)
			}
			continue
		}
		// an instance has one such trouble at a time, and not too many have one
		others, busy := 0, false
		for name, spells := range gone {
			if slices.ContainsFunc(spells, func(w [2]time.Duration) bool { return w[0] <= at+lasts && at <= w[1] }) {
				others++
				busy = busy || name == a
			}
		}
		if busy || others >= keep {
			continue
		}
		gone[a] = append(gone[a], [2]time.Duration{at, at + lasts})
		add(at, verb, a)
		add(at+lasts, back, a)
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
	add(length, "heal")
	return s
}

// RunSchedule carries out a schedule on the rig and returns when its last event is done, with what could not be done. Starts
// go on beside the events that follow, and are awaited in the end. actions are what do names.
func (r *Cluster) RunSchedule(ctx context.Context, s Schedule, actions map[string]func(args []string) error) error {
	began := time.Now()
	var mu sync.Mutex
	var faults []error
	var starts sync.WaitGroup
	for _, e := range s.Events {
		select {
		case <-time.After(e.At - time.Since(began)):
		case <-ctx.Done():
			starts.Wait()
			return ctx.Err()
		}
		note := func(err error) {
			if err != nil {
				mu.Lock()
				faults = append(faults, fmt.Errorf("at %v %s %s: %w", e.At, e.Verb, strings.Join(e.Args, " "), err))
				mu.Unlock()
			}
		}
		if e.Verb == "do" {
			if do := actions[e.Args[0]]; do != nil {
				note(do(e.Args[1:]))
			} else {
				note(errors.New("no such action"))
			}
			continue
		}
		signal, process := processVerbs[e.Verb]
		if !process {
			note(r.onLinks(e))
			continue
		}
		for _, name := range r.which(e.Args[0]) {
			switch {
			case e.Verb == "start":
				starts.Go(func() {
					if err := r.WaitExit(ctx, name); err == nil || ctx.Err() == nil {
						note(r.Start(ctx, name))
					}
				})
			case e.Verb == "kill":
				note(r.Kill(ctx, name))
			default:
				note(r.Signal(name, signal))
			}
		}
	}
	starts.Wait()
	return errors.Join(faults...)
}

// which are the instances that a list names.
func (r *Cluster) which(list string) []string {
	if list == "*" {
		return r.InstanceNames()
	}
	return strings.Split(list, ",")
}

func (r *Cluster) onLinks(e Event) error {
	do, err := e.fault()
	if err != nil {
		return err
	}
	if len(e.Args) == 0 {
		r.net.heal()
		return nil
	}
	from, to, both, _ := ends(e.Args[0])
	for _, a := range r.which(from) {
		for _, b := range r.which(to) {
			ways := [][2]string{{a, b}}
			if both {
				ways = append(ways, [2]string{b, a})
			}
			for _, w := range ways {
				switch {
				case a == b:
				case !r.net.knows(w[0], w[1]):
					return fmt.Errorf("no link %s>%s", w[0], w[1])
				case e.Verb == "reset":
					r.net.reset(w[0], w[1])
				default:
					r.net.edit(w[0], w[1], do)
				}
			}
		}
	}
	return nil
}
