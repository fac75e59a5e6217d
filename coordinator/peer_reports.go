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
func (e *peerExchange) importReports() (hosts int) {
	e.importMu.Lock()
	defer e.importMu.Unlock()
	e.mu.Lock()
	combined := e.reports.Combine(e.loop.clockTicks(), func(host string) (int64, bool) {
		ms, listed := e.startedMS[host]
		return ms, listed
	})
	e.mu.Unlock()
	for chunk := range slices.Chunk(combined, peerreport.MaxChunkObservations) {
		if e.runInLoop(func() {
			for _, observation := range chunk {
				e.loop.balancer.ImportObservation(observation)
			}
		}) != nil {
			break
		}
	}
	return len(combined)
}

// runInLoop runs a task on the event loop and returns once it is done.
func (e *peerExchange) runInLoop(do func()) error {
	done := make(chan struct{})
	if !e.loop.submit(func() { do(); close(done) }) {
		return errClosing
	}
	select {
	case <-done:
		return nil
	case <-e.loop.ctx.Done():
		return errClosing
	}
}

// updateHosts takes over the hosts of an endpoint list, or changes to it. Reports about a host that was removed or has a new address concern
// another machine and are invalidated.
func (e *peerExchange) updateHosts(full bool, version int64, hosts []plan.ListedHost) {
	e.mu.Lock()
	now, changed := e.loop.clockTicks(), false
	present := map[string]bool{}
	invalidate := func(hostID string) {
		e.reports.InvalidateHost(now, hostID)
		changed = true
	}
	for _, host := range hosts {
		old, known := e.addrs[host.ID]
		if present[host.ID] = !host.Removed; host.Removed {
			delete(e.startedMS, host.ID)
			if delete(e.addrs, host.ID); known {
				invalidate(host.ID)
			}
			continue
		}
		if known && old != host.Addr {
			invalidate(host.ID)
		}
		changed = changed || !known || e.startedMS[host.ID] != host.StartedMS
		e.startedMS[host.ID], e.addrs[host.ID] = host.StartedMS, host.Addr
	}
	if full {
		for hostID := range e.startedMS {
			if !present[hostID] {
				delete(e.startedMS, hostID)
				delete(e.addrs, hostID)
				invalidate(hostID)
			}
		}
	}
	needsImport := changed && e.reports.ReportCount() > 0
	e.mu.Unlock()
	e.listVersion.Store(version)
	if needsImport {
		e.loop.group.Go(func() error { e.importReports(); return nil })
	}
}

// admit says whether a peer may poll now, and otherwise how long it has to wait. It is the peer server's Admit.
func (e *peerExchange) admit(name string) (ok bool, retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok, wait := e.admission.Admit(e.loop.clockTicks(), name)
	return ok, time.Duration(wait) * tick
}

// release records that a peer's poll has ended. It is the peer server's Release.
func (e *peerExchange) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.Release()
}

// currentReport returns the last snapshot if it is fresh, and otherwise takes one; peers that poll meanwhile wait for
// it and share it. It is the peer server's BuildReport.
func (e *peerExchange) currentReport(ctx context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
	e.snapshotMu.Lock()
	defer e.snapshotMu.Unlock()
	e.mu.Lock()
	fresh := e.snapshot != nil && e.admission.IsSnapshotFresh(e.loop.clockTicks())
	e.mu.Unlock()
	if !fresh {
		if err := e.takeSnapshot(ctx); err != nil {
			return peerreport.ReportHeader{}, nil, err
		}
	}
	return e.snapshot.HeaderAt(e.loop.clockTicks()), e.snapshot.Observations, nil
}

// takeSnapshot exports the balancer's observations, one chunk per iteration of the event loop. If the endpoint list
// changed meanwhile, it starts over as often as the admission allows.
func (e *peerExchange) takeSnapshot(ctx context.Context) error {
	e.snapshotSerial++
	for {
		builder := peerreport.NewReportBuilder(e.loop.clockTicks(), e.options.Name, e.options.Location, e.snapshotSerial, e.listVersion.Load(), e.zones)
		for from := 0; ; {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err := e.runInLoop(func() {
				from = e.loop.balancer.ExportObservations(from, peerreport.MaxChunkObservations, builder.AddObservation)
			}); err != nil {
				return err
			}
			if from == 0 {
				break
			}
		}
		e.mu.Lock()
		retake := builder.ListChanged(e.listVersion.Load()) && e.admission.AllowSnapshotRetake()
		if !retake {
			e.admission.RecordSnapshot(e.loop.clockTicks() - builder.AgeAt(e.loop.clockTicks()))
		}
		e.mu.Unlock()
		if !retake {
			e.snapshot = builder
			return nil
		}
	}
}

// spendAnswerBudget charges an answer's bytes and CPU time to the budget for answers. It is the peer server's
// SpendBudget.
func (e *peerExchange) spendAnswerBudget(ctx context.Context, bytes int, cpu time.Duration) error {
	done := make(chan error, 1)
	_, err := e.pool.Add(scheduler.Job{Name: "answer", Kind: answerJobKind, Priority: scheduler.PriorityNormal, MaxFailures: 1},
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
func (e *peerExchange) status(context.Context) (peerprotocol.Status, error) {
	counts, waiting, running, load := e.pool.Counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.loop.clockTicks()
	status := peerprotocol.Status{
		Name: e.options.Name, Locality: e.options.Location, UptimeMs: uint64(e.loop.Clock.Now().Sub(e.loop.startedAt).Milliseconds()),
		ListVersion: e.listVersion.Load(), HostCount: uint32(len(e.startedMS)), ReportsServed: uint32(e.admission.Admitted), ReportsDeferred: uint32(e.admission.Deferred),
		LoadPermille: uint16(1000 * min(1, max(load, e.load))), WaitingJobs: uint16(waiting), RunningJobs: uint16(running), DeferredJobs: uint32(counts.Deferred),
	}
	for _, peer := range e.poller.Statuses(now) {
		peerStatus := peerprotocol.PeerStatus{Name: peer.Name, ReportCount: uint32(peer.ReportCount)}
		if peer.LastOutcomeAt > 0 {
			peerStatus.LastOutcome, peerStatus.LastOutcomeAgoMs = peer.LastOutcome.String(), uint64((now-peer.LastOutcomeAt)/10)
		}
		if peer.NextPollAt > now {
			peerStatus.NextPollInMs = uint64((peer.NextPollAt - now) / 10)
		}
		status.Peers = append(status.Peers, peerStatus)
	}
	return status, nil
}
