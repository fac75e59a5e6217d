package coordinator

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"chalkring/control/shadow"
)

const shadowLogInterval = 10 * time.Second // between log lines with the numbers of shadow divergences

// metricsBody returns the body of the response to /metrics.
func (loop *eventLoop) metricsBody() []byte {
	var body bytes.Buffer
	if loop.shadowCounts != nil {
		body.Write(shadowMetrics(loop.shadowCounts))
	}
	if loop.enforcer != nil {
		loop.enforcer.guard.writeMetrics(&body)
	}
	return body.Bytes()
}

// logShadowCounts logs, every shadowLogInterval, how many decisions of each kind differ under the shadow settings, if the
// total differs from last.
func (loop *eventLoop) logShadowCounts(last int64) {
	if n := loop.shadowCounts.Total(); n != last {
		last = n
		var attrs []any
		for kind, name := range shadow.KindNames {
			attrs = append(attrs, name, loop.shadowCounts[kind].Load())
		}
		loop.log.Info("shadow", attrs...)
	}
	loop.runAfter(int64(shadowLogInterval/tick), func() { loop.logShadowCounts(last) })
}

// shadowMetrics returns the numbers of shadow divergences in the Prometheus text format.
func shadowMetrics(counts *shadow.DivergenceCounts) []byte {
	var text strings.Builder
	text.WriteString("# HELP chalkring_shadow_differs_total Decisions that the shadow settings would have made otherwise.\n" +
		"# TYPE chalkring_shadow_differs_total counter\n")
	for kind, name := range shadow.KindNames {
		fmt.Fprintf(&text, "chalkring_shadow_differs_total{kind=%q} %d\n", name, counts[kind].Load())
	}
	return []byte(text.String())
}
