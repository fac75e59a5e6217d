package benchmark

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"chalkring/internal/clustertest"
)

const (
	// earlierBuildEnv names the program of an earlier build, which the benchmark versions needs.
	earlierBuildEnv = "BENCHMARK_EARLIER_BUILD"

	versionsTimeout   = 4 * time.Minute
	versionsStepWait  = 70 * time.Second // for a change to reach all instances
	versionsRate      = 40.0             // searches a second
	versionsPatience  = 5 * time.Second
	versionsLogPoll   = 100 * time.Millisecond
	versionsSettle    = time.Second // for what a restarted instance logs about its store
	newBuildLinkFlags = "-ldflags=-X=main.release=next"
)

var errNoEarlierBuild = errors.New(earlierBuildEnv + " names no program: build an earlier commit's cmd/chalkring and name it there")

// servingEvents are the log events of an instance that serves a change, and the key of what it ran before, by the names of
// earlier builds and of this one.
var servingEvents = []struct{ event, previousKey string }{
	{"rollout_serves", "after"},
	{"rollout_serving", "previous"},
}

// incompatibilityEvents are log events of a form that an instance could not read, by the names of earlier builds and of this one.
// rollout_stopped is none: the operator's order to go back is logged by it, and a change that was stopped before reaches fewer.
var incompatibilityEvents = []string{
	"fleet_store", "cluster_store", "fleet_other", "cluster_foreign_instance", "share_message", "replication_message",
	"share_refused", "replication_refused", "share_store", "replication_store", "rollout_entry", "rollout_store",
	"rollout_not_taken", "rollout_not_applied",
}

// MeasureVersions rolls a cluster of three real processes from an earlier build of the program to this one and back, and another
// cluster the other way, each with a restart half-way. Both builds run side by side meanwhile, and each reads the stores that
// the other wrote. It misses where a change does not reach all instances, an instance cannot read what another wrote, or a
// client's search is refused or answered wrongly.
func MeasureVersions(ctx context.Context, seed int64) (result Result, err error) {
	defer clustertest.RemoveBuilds()
	earlier := os.Getenv(earlierBuildEnv)
	if earlier == "" {
		return result, errNoEarlierBuild
	}
	ctx, stop := context.WithTimeout(ctx, versionsTimeout)
	defer stop()
	current, err := clustertest.BuildProgram(ctx, newBuildLinkFlags)
	if err != nil {
		return result, err
	}
	result.Fields = map[string]any{}
	for _, direction := range []struct{ name, from, to string }{
		{"earlier_to_current", earlier, current},
		{"current_to_earlier", current, earlier},
	} {
		if err := result.rollBetween(ctx, seed, direction.name, direction.from, direction.to); err != nil {
			return result, fmt.Errorf("%s: %w", direction.name, err)
		}
	}
	return result, nil
}

// rollBetween rolls a cluster from one build to another and back.
func (r *Result) rollBetween(ctx context.Context, seed int64, name, from, to string) error {
	version, err := programVersion(ctx, to)
	if err != nil {
		return err
	}
	installation := func(w clustertest.InstanceAddresses) string {
		return "log: {level: info}\n" + fleetText(w, map[string]string{"rollout": "rollout.yaml", "store": "fleet.db"})
	}
	cluster, err := startRig(ctx, seed, 1, installation, func(s *clustertest.Config) { s.ProgramPath, s.Relayed = from, false })
	if err != nil {
		return err
	}
	defer cluster.Close()
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	answers := make(chan []clustertest.ClientResult, 1)
	go func() {
		answers <- cluster.PlaySearches(load, cluster.DrawSearches(seed, name, versionsRate, versionsTimeout, versionsPatience, "acme"))
	}()
	began := time.Now()
	names := cluster.InstanceNames()
	if err := cluster.WriteFile(names[0], "rollout.yaml", programChange(to, version, "")); err != nil {
		return err
	}
	reached := waitServing(ctx, cluster, 1, "")
	if err := restartOne(ctx, cluster, names[1]); err != nil {
		return err
	}
	if err := cluster.WriteFile(names[2], "rollout.yaml", programChange(to, version, "order: back\nturn: 2\n")); err != nil {
		return err
	}
	returned := waitServing(ctx, cluster, 0, "1")
	stopLoad()
	verdict := cluster.Judge(<-answers, clustertest.AuditRules{})
	r.Fields[name] = map[string]any{
		"reached": reached, "returned": returned, "of": len(names), "seconds": round(time.Since(began).Seconds()),
		"searches": verdict.Searches, "good": verdict.Good,
	}
	r.missVersions(name, cluster, verdict, reached, returned)
	return nil
}

func (r *Result) missVersions(name string, cluster *clustertest.Cluster, verdict clustertest.Verdict, reached, returned int) {
	count := len(cluster.InstanceNames())
	if reached < count {
		r.MissedGoals = append(r.MissedGoals, fmt.Sprintf("%s: the change reached %d of %d", name, reached, count))
	}
	if returned < count {
		r.MissedGoals = append(r.MissedGoals, fmt.Sprintf("%s: %d of %d went back", name, returned, count))
	}
	for _, event := range incompatibilityEvents {
		if logged(cluster, "event="+event+" ") {
			r.MissedGoals = append(r.MissedGoals, fmt.Sprintf("%s: an instance logged %s", name, event))
		}
	}
	for _, violation := range verdict.Violations {
		if slices.Contains([]string{"refused", "true_answer", "known_part"}, violation.Name) {
			r.MissedGoals = append(r.MissedGoals, fmt.Sprintf("%s: %s: %s", name, violation.Name, violation.First))
		}
	}
	if verdict.Good == 0 {
		r.MissedGoals = append(r.MissedGoals, name+": no search was answered")
	}
}

// programChange is the text of a change file that starts another program.
func programChange(program, version, more string) string {
	return fmt.Sprintf("name: versions\nnumber: 1\nprogram: {path: %q, version: %q}\n"+
		"stages: [{count: 1, watch: 2s}, {share: 1, watch: 200ms}]\ntogether: 0.34\ncold: 100ms\nready: 3s\nsilent: 12s\nsearches: 0\n%s...\n",
		program, version, more)
}

// programVersion is what a program tells of its version, as a change file names it: up to the first comma.
func programVersion(ctx context.Context, program string) (string, error) {
	output, err := exec.CommandContext(ctx, program, "version").Output()
	if err != nil {
		return "", fmt.Errorf("%s version: %w", program, err)
	}
	version, _, found := strings.Cut(string(output), ",")
	if !found {
		return "", fmt.Errorf("%s version: no version in %q", program, output)
	}
	return version + ",", nil
}

// waitServing waits until all instances serve a change, and returns how many do. previous is the change before it, any where empty.
func waitServing(ctx context.Context, cluster *clustertest.Cluster, number int, previous string) (serving int) {
	ctx, stop := context.WithTimeout(ctx, versionsStepWait)
	defer stop()
	for {
		serving = 0
		for _, name := range cluster.InstanceNames() {
			if isServing(cluster.Log(name), number, previous) {
				serving++
			}
		}
		if serving == len(cluster.InstanceNames()) {
			return serving
		}
		select {
		case <-time.After(versionsLogPoll):
		case <-ctx.Done():
			return serving
		}
	}
}

func isServing(log string, number int, previous string) bool {
	return slices.ContainsFunc(servingEvents, func(names struct{ event, previousKey string }) bool {
		text := fmt.Sprintf("event=%s number=%d ", names.event, number)
		if previous != "" {
			text += names.previousKey + "=" + previous
		}
		return strings.Contains(log, text)
	})
}

// restartOne kills an instance and starts it again, so that it reads its store.
func restartOne(ctx context.Context, cluster *clustertest.Cluster, name string) error {
	err := cmp.Or(cluster.Kill(ctx, name), cluster.Start(ctx, name))
	if err == nil {
		time.Sleep(versionsSettle)
	}
	return err
}
