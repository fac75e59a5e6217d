package benchmark

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"chalkring/internal/clustertest"
)

// Regions of the measurements with real processes: each has a zone of its name with -1 behind it and hosts for all blocks.
var regions = []string{"east", "north", "west"}

// startRig starts real processes, so many in each region, named as the region with a number, with a relay on every way; file
// gives each one's installation, edit changes what else the rig is made of, both may be nil.
func startRig(ctx context.Context, seed int64, each int, file func(w clustertest.InstanceAddresses) string, edit func(s *clustertest.Config)) (*clustertest.Cluster, error) {
	s := clustertest.Config{Seed: seed, Relayed: true, InstallationFile: file}
	for n, region := range regions {
		for i := range each {
			s.Instances = append(s.Instances, clustertest.Instance{Name: fmt.Sprintf("%s-%d", region, i), Region: region, Zone: region + "-1"})
		}
		for cell := range clustertest.BlockCount {
			s.Hosts = append(s.Hosts, clustertest.Host{ID: fmt.Sprintf("h%d%d", n, cell), Zone: region + "-1", Cell: cell})
		}
	}
	if edit != nil {
		edit(&s)
	}
	return clustertest.New(ctx, s)
}

// sides are the instances of one region, and all others.
func sides(r *clustertest.Cluster, region string) (mine, others []string) {
	for _, name := range r.InstanceNames() {
		if r.Addresses(name).Region == region {
			mine = append(mine, name)
		} else {
			others = append(others, name)
		}
	}
	return mine, others
}

// logged tells whether any instance has written a text.
func logged(r *clustertest.Cluster, text string) bool {
	return slices.ContainsFunc(r.InstanceNames(), func(name string) bool { return strings.Contains(r.Log(name), text) })
}

// fleetText is the section fleet of an installation file for an instance; more are further lines of it, by name.
func fleetText(w clustertest.InstanceAddresses, more map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet:\n  name: %s\n  region: %s\n  zone: %s\n  listen: %s\n  join:\n", w.Name, w.Region, w.Zone, w.Fleet)
	listed := []string{w.Name}
	for _, o := range w.Peers {
		fmt.Fprintf(&b, "    - %s\n", o.Fleet)
		listed = append(listed, o.Name)
	}
	slices.Sort(listed)
	fmt.Fprintf(&b, "  listed: [%s]\n  via:\n", strings.Join(listed, ", "))
	for _, at := range slices.Sorted(maps.Keys(w.RelayAddresses())) {
		fmt.Fprintf(&b, "    %q: %q\n", at, w.RelayAddresses()[at])
	}
	for _, name := range slices.Sorted(maps.Keys(more)) {
		fmt.Fprintf(&b, "  %s: %s\n", name, more[name])
	}
	return b.String()
}

// judged puts a verdict into a result: its counts into the line, what is broken among what was missed.
func (r *Result) judged(v clustertest.Verdict) {
	if r.Fields == nil {
		r.Fields = map[string]any{}
	}
	maps.Copy(r.Fields, map[string]any{
		"searches": v.Searches, "good": v.Good, "shed": v.Shed, "excused": v.Excused,
		"parts": v.ShardRequests, "refused": v.Refused, "closed": v.Closed, "broken": len(v.Violations),
	})
	r.MissedGoals = append(r.MissedGoals, v.DescribeViolations()...)
}

// worthOf is what a run's answers are worth to its clients, as a share of all being good and within the latency target.
func worthOf(answers []clustertest.ClientResult) float64 {
	sum := 0.0
	for _, a := range answers {
		sum += worth(a.Status, a.Latency)
	}
	return sum / float64(max(1, len(answers)))
}
