package membership

import (
	"maps"
	"slices"
)

// DuePings returns the names of the nodes to ping now and marks them as being pinged. The caller must call RecordPingResult
// once for each of them.
func (d *FailureDetector) DuePings(now int64) (nodeNames []string) {
	for nodeName, node := range d.nodes {
		isRetryDue := node.retryPingAt != 0 && now >= node.retryPingAt
		if node.pingSentAt == 0 && node.isVoter && (d.needsSweep(node) || isRetryDue) {
			nodeNames = append(nodeNames, nodeName)
		}
	}
	slices.Sort(nodeNames)
	if now >= d.nextProbeAt {
		d.nextProbeAt = now + PingInterval
		if nodeName := d.nextOfRound(); nodeName != "" && !slices.Contains(nodeNames, nodeName) {
			nodeNames = append(nodeNames, nodeName)
		}
	}
	for _, nodeName := range nodeNames {
		d.nodes[nodeName].pingSentAt, d.nodes[nodeName].retryPingAt = max(1, now), 0
	}
	return nodeNames
}

// nextOfRound returns the next node to ping of the probe round, which has each voter once, in random order. It returns an
// empty name if there is none.
func (d *FailureDetector) nextOfRound() string {
	if len(d.probeRound) == 0 {
		d.beginRound()
	}
	for len(d.probeRound) > 0 {
		nodeName := d.probeRound[0]
		d.probeRound = d.probeRound[1:]
		if node := d.nodes[nodeName]; node != nil && node.pingSentAt == 0 && node.missingSince == 0 {
			return nodeName
		}
	}
	return ""
}

func (d *FailureDetector) beginRound() {
	for _, nodeName := range slices.Sorted(maps.Keys(d.nodes)) {
		if d.nodes[nodeName].isVoter {
			d.probeRound = append(d.probeRound, nodeName)
		}
	}
	d.rng.Shuffle(len(d.probeRound), func(i, j int) {
		d.probeRound[i], d.probeRound[j] = d.probeRound[j], d.probeRound[i]
	})
}

// requestSweep requests a ping of all voters. A ping sent within sweepReuseTime before now is not repeated if its result
// counts for the sweep.
func (d *FailureDetector) requestSweep(now int64) { d.sweepRequestedAt = max(1, now) }

// needsSweep reports whether the last requested sweep still lacks a node's ping result.
func (d *FailureDetector) needsSweep(node *trackedNode) bool {
	return node.sweptAt < d.sweepRequestedAt-sweepReuseTime
}

// isSweeping reports whether the last requested sweep still lacks the ping result of any voter.
func (d *FailureDetector) isSweeping() bool {
	for _, node := range d.nodes {
		if node.isVoter && d.needsSweep(node) {
			return true
		}
	}
	return false
}
