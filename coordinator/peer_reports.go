package coordinator

import (
	"context"
	"slices"
	"time"

	"chalkring/cluster/peerprotocol"
	"chalkring/cluster/peerreport"
	"chalkring/coordinator/plan"
	"chalkring/internal/scheduler"
)

// importReports combines all reports and imports the result into the balancer, chunk by chunk. It returns the number
// of hosts in the combined report.
func (l *peerExchange) importReports() (hosts int) {
	l.importMu.Lock()
	defer l.importMu.Unlock()
	l.mu.Lock()
	combined := l.reports.Combine(l.loop.clockTicks(), func(host string) (int64, bool) {
		ms, listed := l.startedMS[host]
		return ms, listed
	})
	l.mu.Unlock()
	for chunk := range slices.Chunk(combined, peerreport.MaxChunkObservations) {
		if l.runInLoop(func() {
			for _, observation := range chunk {
				l.loop.balancer.ImportObservation(observation)
			}
		}) != nil {
			break
		}
	}
	return len(combined)
}

// runInLoop runs a task on the event loop and returns once it is done.
func (l *peerExchange) runInLoop(do func()) error {
	done := make(chan struct{})
	if !l.loop.submit(func() { do(); close(done) }) {
		return errClosing
	}
	select {
	case <-done:
		return nil
	case <-l.loop.ctx.Done():
		return errClosing
	}
}

// updateHosts applies a list or changes to it. Reports about a host that was removed or has a new address concern
// another machine and are invalidated.
func (l *peerExchange) updateHosts(full bool, version int64, hosts []plan.ListedHost) {
	l.mu.Lock()
	now, changed := l.loop.clockTicks(), false
	present := map[string]bool{}
	invalidate := func(hostID string) {
		l.reports.InvalidateHost(now, hostID)
		changed = true
	}
	for _, host := range hosts {
		old, known := l.addrs[host.ID]
		if present[host.ID] = !host.Removed; host.Removed {
			delete(l.startedMS, host.ID)
			if delete(l.addrs, host.ID); known {
				invalidate(host.ID)
			}
			continue
		}
		if known && old != host.Addr {
			invalidate(host.ID)
		}
		changed = changed || !known || l.startedMS[host.ID] != host.StartedMS
		l.startedMS[host.ID], l.addrs[host.ID] = host.StartedMS, host.Addr
	}
	if full {
		for hostID := range l.startedMS {
			if !present[hostID] {
				delete(l.startedMS, hostID)
				delete(l.addrs, hostID)
				invalidate(hostID)
			}
		}
	}
	needsImport := changed && l.reports.ReportCount() > 0
	l.mu.Unlock()
	l.listVersion.Store(version)
	if needsImport {
		l.loop.group.Go(func() error { l.importReports(); return nil })
	}
}

// admit says whether a peer may poll now, and otherwise how long it has to wait. It is the peer server's Admit.
func (l *peerExchange) admit(name string) (ok bool, later time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, wait := l.admission.Admit(l.loop.clockTicks(), name)
	return ok, time.Duration(wait) * tick
}

// release records that a peer's poll has ended. It is the peer server's Release.
func (l *peerExchange) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Release()
}

// currentReport returns the last snapshot if it is fresh, and otherwise takes one; peers that poll meanwhile wait for
// it and share it. It is the peer server's BuildReport.
func (l *peerExchange) currentReport(ctx context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	l.mu.Lock()
	fresh := l.snapshot != nil && l.admission.IsSnapshotFresh(l.loop.clockTicks())
	l.mu.Unlock()
	if !fresh {
		if err := l.takeSnapshot(ctx); err != nil {
			return peerreport.ReportHeader{}, nil, err
		}
	}
	return l.snapshot.HeaderAt(l.loop.clockTicks()), l.snapshot.Observations, nil
}

// takeSnapshot exports the balancer's observations, one chunk per iteration of the event loop. If the endpoint list
// changed meanwhile, it starts over as often as the admission allows.
func (l *peerExchange) takeSnapshot(ctx context.Context) error {
	l.snapshotSerial++
	for {
		builder := peerreport.NewReportBuilder(l.loop.clockTicks(), l.options.Name, l.options.Location, l.snapshotSerial, l.listVersion.Load(), l.zones)
		for from := 0; ; {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err := l.runInLoop(func() {
				from = l.loop.balancer.ExportObservations(from, peerreport.MaxChunkObservations, builder.AddObservation)
			}); err != nil {
				return err
			}
			if from == 0 {
				break
			}
		}
		l.mu.Lock()
		retake := builder.ListChanged(l.listVersion.Load()) && l.admission.AllowSnapshotRetake()
		if !retake {
			l.admission.RecordSnapshot(l.loop.clockTicks() - builder.AgeAt(l.loop.clockTicks()))
		}
		l.mu.Unlock()
		if !retake {
			l.snapshot = builder
			return nil
		}
	}
}

// spendAnswerBudget charges an answer's bytes and CPU time to the budget for answers. It is the peer server's
// SpendBudget.
func (l *peerExchange) spendAnswerBudget(ctx context.Context, bytes int, cpu time.Duration) error {
	done := make(chan error, 1)
	_, err := l.pool.Add(scheduler.Job{Name: "answer", Kind: answerJobKind, Priority: scheduler.PriorityNormal, MaxFailures: 1},
		func(ctx context.Context, allowance *scheduler.Allowance) error {
			done <- allowance.Spend(ctx, bytes, cpu)
			return nil
		})
	if err != nil {
		return err
	}
	select {
	case err = <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// status returns the state of the exchange. It is the peer server's BuildStatus.
func (l *peerExchange) status(context.Context) (peerprotocol.Status, error) {
	counts, waiting, running, load := l.pool.Counts()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.loop.clockTicks()
	status := peerprotocol.Status{
		Name: l.options.Name, Locality: l.options.Location, UptimeMs: uint64(l.loop.Clock.Now().Sub(l.loop.startedAt).Milliseconds()),
		ListVersion: l.listVersion.Load(), HostCount: uint32(len(l.startedMS)), ReportsServed: uint32(l.admission.Admitted), ReportsDeferred: uint32(l.admission.Deferred),
		LoadPermille: uint16(1000 * min(1, max(load, l.load))), WaitingJobs: uint16(waiting), RunningJobs: uint16(running), DeferredJobs: uint32(counts.Deferred),
	}
	for _, peer := range l.poller.Statuses(now) {
		one := peerprotocol.PeerStatus{Name: peer.Name, ReportCount: uint32(peer.ReportCount)}
		if peer.LastOutcomeAt > 0 {
			one.LastOutcome, one.LastOutcomeAgoMs = peer.LastOutcome.String(), uint64((now-peer.LastOutcomeAt)/10)
		}
		if peer.NextPollAt > now {
			one.NextPollInMs = uint64((peer.NextPollAt - now) / 10)
		}
		status.Peers = append(status.Peers, one)
	}
	return status, nil
}
