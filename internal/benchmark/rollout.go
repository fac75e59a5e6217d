package benchmark

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

const (
	rolloutEach = 2                      // processes of a region: six, so that the first stage is under a quarter
	rolloutBusy = 0.08                   // of the parts that hosts put off: a change that asks nobody else loses by it
	rolloutRate = 120.0                  // searches a second of the whole fleet
	rolloutFor  = 45 * time.Second       // of load
	rolloutBad  = 22 * time.Second       // by which the bad change has to be stopped and taken back
	rolloutRoom = 0.95                   // of G under which the fleet that changes nothing tells of the machine alone
	rolloutLook = 100 * time.Millisecond // between looks at what was logged
	rolloutGain = 0.01                   // of G that a fleet which changes may lie under one that does not
)

// rolloutChange is a change file of the measurement.
func rolloutChange(number int, settings string) string {
	return fmt.Sprintf("name: lab\nnumber: %d\nsettings: %s\nstages:\n  - {count: 1, watch: 6s}\n  - {share: 0.34, watch: 1500ms}\n"+
		"  - {share: 1, watch: 500ms}\ntogether: 0.34\ncold: 300ms\nready: 2s\nsilent: 8s\nsearches: 40\nworse: {unreached: 2, sub_requests: 0.45, median: 0.45, tail: 0.3}\n...\n", number, settings)
}

// MeasureRollout measures changes in stages on two fleets of six real processes in three regions, with the same clients and the
// same faults: one that changes nothing, and one that is given a change which costs most of its answers, and after it one
// that does no harm, under a partition, a kill and a delay.
func MeasureRollout(ctx context.Context, seed int64) (out Result, err error) {
	defer clustertest.RemoveBuilds()
	if _, err := clustertest.BuildProgram(ctx); err != nil { // a cold build is not the fleet's time
		return out, err
	}
	ctx, stop := context.WithTimeout(ctx, 58*time.Second)
	defer stop()
	file := func(w clustertest.InstanceAddresses) string {
		return "log: {level: info}\n" + fleetText(w, map[string]string{"rollout": "rollout.yaml", "store": "fleet.db"})
	}
	busy := func(s *clustertest.Config) {
		s.Relayed = false // the faults are between instances
		for i := range s.Hosts {
			drawn := uniform(seed+int64(i), 0, time.Second)
			s.Hosts[i].Handler = func(p fake.ShardRequest) {
				if drawn() < time.Duration(rolloutBusy*float64(time.Second)) {
					p.Reply("later", "-", "")
					return
				}
				time.AfterFunc(2*time.Millisecond, p.ReplyGood)
			}
		}
	}
	var rigs [2]*clustertest.Cluster
	for i := range rigs {
		if rigs[i], err = startRig(ctx, seed, rolloutEach, file, busy); err != nil {
			return out, err
		}
		defer rigs[i].Close()
	}
	r, names, chance := rigs[1], rigs[1].InstanceNames(), rand.New(rand.NewSource(seed))
	var answers [2][]clustertest.ClientResult
	var g sync.WaitGroup
	for i := range rigs {
		g.Go(func() {
			answers[i] = rigs[i].PlaySearches(ctx, rigs[i].DrawSearches(seed, "q", rolloutRate, rolloutFor, labPatience, "acme", "other"))
		})
	}
	defer g.Wait()
	began := time.Now()
	serving := func(number int) (n int) {
		for _, name := range names {
			if strings.Contains(r.Log(name), fmt.Sprintf("event=rollout_serving number=%d ", number)) {
				n++
			}
		}
		return n
	}
	until := func(most time.Duration, ok func() bool) bool {
		for ; time.Since(began) < most; time.Sleep(rolloutLook) {
			if ok() {
				return true
			}
		}
		return ok()
	}
	give := func(number int, settings string) error {
		return r.WriteFile(names[chance.Intn(len(names))], "rollout.yaml", rolloutChange(number, settings))
	}
	if err := give(1, `{Permissions: {MaxAttempts: 1}}`); err != nil {
		return out, err
	}
	taken := until(rolloutBad, func() bool { return serving(1) > 0 })
	first := time.Since(began)
	halted := until(rolloutBad, func() bool { return logged(r, "event=rollout_stopped") })
	stopAfter := time.Since(began) - first
	back := until(rolloutBad+2*time.Second, func() bool { return logged(r, "event=rollout_serving number=0 previous=1") })
	reached := serving(1)
	if err := give(2, `{Safety: {ExtraFloor: 0.5}}`); err != nil {
		return out, err
	}
	given := time.Since(began)
	var faults clustertest.Schedule
	mine, others := sides(r, regions[chance.Intn(len(regions))])
	at := 500 + chance.Intn(3000)
	killed := others[chance.Intn(len(others))]
	text := fmt.Sprintf("seed %d\nat 0s delay %s>* %dms 5ms\nat %dms cut %s<>%s\nat %dms heal\nat %dms kill %s\nat %dms start %s\n", seed,
		others[chance.Intn(len(others))], 10+chance.Intn(30), at, strings.Join(mine, ","), strings.Join(others, ","), at+2500, at+3500, killed,
		at+4000, killed)
	if faults, err = clustertest.ParseSchedule(text); err != nil {
		return out, err
	}
	ran := make(chan error, 2)
	for _, one := range rigs {
		go func() { ran <- one.RunSchedule(ctx, faults, nil) }()
	}
	all := until(rolloutFor-time.Second, func() bool { return serving(2) == len(names) })
	took := time.Since(began) - given
	for range rigs {
		if fault := <-ran; fault != nil {
			return out, fault
		}
	}
	g.Wait()
	v := r.Judge(answers[1], clustertest.AuditRules{})
	out.judged(v)
	refused := 0
	for _, b := range v.Violations {
		if b.Name == "refused" {
			refused = b.Count
		}
	}
	out.Fields["refused"], out.Fields["refused_by_killed"] = refused, v.Refused-refused
	out.Fields["lost"] = v.Searches - v.Good - v.Shed - v.Failed - v.Excused
	still := worthOf(answers[0])
	out.Fields["stopped_after_s"], out.Fields["reached_bad"], out.Fields["of"] = round(stopAfter.Seconds()), reached, len(names)
	out.Fields["reached_good"], out.Fields["all_after_s"] = serving(2), round(took.Seconds())
	out.Fields["G"], out.Fields["G_unchanged"] = worthOf(answers[1]), still
	missed := func(bad bool, format string, more ...any) {
		if bad {
			out.MissedGoals = append(out.MissedGoals, fmt.Sprintf(format, more...))
		}
	}
	missed(still < rolloutRoom, "the fleet that changed nothing had G %.3f: this machine is too busy for a verdict", still)
	missed(!taken || !halted, "the bad change was not taken (%v) or not stopped (%v)", taken, halted)
	missed(!back, "nobody went back")
	missed(4*reached >= len(names), "the bad change reached %d of %d", reached, len(names))
	missed(!all, "the good change reached %d of %d", serving(2), len(names))
	missed(still-worthOf(answers[1]) > rolloutGain+(1-still), // what this machine costs both fleets is not held against one
		"G %.4f, %.4f in the fleet that changed nothing", worthOf(answers[1]), still)
	return out, ctx.Err()
}
