package fanout

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/config/strictyaml"
	"chalkring/control/subscribers"
	"chalkring/internal/advice"
)

const (
	maxFileBytes = 64 << 20

	// filePollInterval is the time between two polls of the file. A changed file is read once two polls find it unchanged.
	filePollInterval = 300 * time.Millisecond

	// fileCheckInterval is the time between two checks whether the store matches the file.
	fileCheckInterval = 5 * time.Second

	// maxLinesPerTick limits how many lines of a file are written in one tick: 20,000 a second, some 20 ms of a core.
	maxLinesPerTick = 2000

	// writerDelay is how long each gateway ranked before this one has for writing a line.
	writerDelay = 10 * time.Second

	// newFilePeriod is how long a new file is checked even if nothing changes, so that the gateways ranked after the first
	// one can write. After that it is only checked when the list has changed.
	newFilePeriod = time.Minute
)

// fileUpdate is a file that was read, or the error for which it cannot be used.
type fileUpdate struct {
	file *subscribers.RegionFile
	err  error
}

// ReadRegionFile reads a region's file: YAML, or JSON lines if its name ends in .json or .jsonl.
func ReadRegionFile(path string) (file *subscribers.RegionFile, err error) {
	text, err := strictyaml.ReadFile(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(filepath.Ext(path), ".json") {
		file, err = subscribers.ParseJSONLines(text)
	} else {
		file, err = subscribers.ParseYAML(text)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// IsRegionFile reports whether a YAML file looks like a region's file.
func IsRegionFile(path string) bool {
	text, err := strictyaml.ReadFile(path, maxFileBytes)
	return err == nil && bytes.Contains(append([]byte("\n"), text...), []byte("\nsubscriptions:"))
}

// fileStamp distinguishes versions of a file without reading it.
type fileStamp struct {
	size       int64
	modifiedAt time.Time
	missing    bool
}

// watchFile sends the current file, and then the file after each change, once it has been unchanged for
// filePollInterval. It returns when ctx ends.
func watchFile(ctx context.Context, path string, updates chan<- fileUpdate) {
	var previous, sent fileStamp
	for first := true; ; first = false {
		stamp := fileStamp{missing: true}
		info, err := os.Stat(path)
		if err == nil {
			stamp = fileStamp{info.Size(), info.ModTime(), false}
		}
		if stamp != sent && (stamp == previous || first) {
			sent = stamp
			var file *subscribers.RegionFile
			if err == nil {
				file, err = ReadRegionFile(path)
			}
			select {
			case updates <- fileUpdate{file, err}:
			case <-ctx.Done():
				return
			}
		}
		previous = stamp
		select {
		case <-time.After(filePollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// acceptFile makes a file the one to apply. If the file cannot be used, the last valid one stays.
func (g *Gateway) acceptFile(update fileUpdate) {
	if update.err == nil && update.file.Region != g.options.Self.Region {
		update.err = &RegionMismatchError{update.file.Region, g.options.Self.Region}
	}
	if update.err != nil {
		g.logRejectedFile(update.err, "the last valid file")
		return
	}
	g.log.Info("subscriber_file_loaded", "path", g.options.FilePath, "generation", update.file.Generation, "subscriptions", len(update.file.Lines))
	g.loop.file, g.loop.fileAcceptedAt, g.loop.fileApplied = update.file, time.Now(), false
	clear(g.loop.reportedStaleLines)
}

func (g *Gateway) logRejectedFile(err error, active string) {
	g.log.Warn("subscriber_file_rejected", advice.LogAttrs(err, "path", g.options.FilePath, "in_force", active)...)
}

// checkFile applies the file at intervals, and again at the next tick if lines are left over.
func (g *Gateway) checkFile(t time.Time) {
	if len(g.loop.unapplied) > 0 || t.Sub(g.loop.lastFileCheck) < fileCheckInterval {
		return
	}
	g.loop.lastFileCheck = t
	if more := g.applyFile(); more {
		g.loop.lastFileCheck = time.Time{}
	}
}

// applyFile writes what is in the file but not in the store, as many lines as fit in a tick, and reports whether some
// are left.
func (g *Gateway) applyFile() (more bool) {
	if g.loop.file == nil || g.loop.fileApplied && time.Since(g.loop.fileAcceptedAt) > newFilePeriod {
		return false
	}
	g.loop.fileApplied = true
	if !g.activateFile() {
		return false
	}
	maxRank := int(time.Since(g.loop.fileAcceptedAt) / writerDelay)
	mayWrite := func(key subscribers.Key) bool { return g.loop.decisions.FileWriterRank(key) <= maxRank }
	keys, stale := g.loop.file.FindChanges(g.loop.list, mayWrite, maxLinesPerTick)
	g.reportStaleLines(stale)
	written := g.writeLines(keys)
	return len(keys) == maxLinesPerTick && written > 0
}

// activateFile records the file as the active one in the store, and reports whether it is. A stale file is dropped.
func (g *Gateway) activateFile() bool {
	_, err := g.options.Store.Update(subscribers.RegionFileKeyPrefix+g.loop.file.Region, func(entry crdt.Entry) ([]byte, bool, error) {
		value, err := g.loop.file.Activate(subscribers.DecodeFileStatus(entry))
		return value, value != nil, err
	})
	var stale *subscribers.StaleFileError
	if errors.As(err, &stale) {
		g.logRejectedFile(err, "the file recorded in the store")
		g.loop.file = nil
		return false
	}
	if err != nil {
		g.warnLimited("subscriber_update_failed", advice.LogAttrs(err)...)
		return false
	}
	return true
}

// reportStaleLines reports, once each, the lines about subscribers that have unsubscribed.
func (g *Gateway) reportStaleLines(stale []*subscribers.StaleLineError) {
	for _, line := range stale {
		if len(g.loop.reportedStaleLines) < maxRememberedReports && g.loop.reportedStaleLines[line.Key] != line.UnsubscribedConsent {
			g.loop.reportedStaleLines[line.Key] = line.UnsubscribedConsent
			g.warnLimited("subscriber_line_stale", advice.LogAttrs(line)...)
		}
	}
}

// writeLines applies the file to some subscribers, and returns how many writes succeeded. The tenant's contract never
// prevents an unsubscription.
func (g *Gateway) writeLines(keys []subscribers.Key) (written int) {
	zoneErrors := map[string]error{} // by tenant
	for _, key := range keys {
		var err error
		if _, hasLine := g.loop.file.Lines[key]; hasLine {
			zoneError, checked := zoneErrors[key.Tenant]
			if !checked {
				zoneError = g.checkZones(key.Tenant)
				zoneErrors[key.Tenant] = zoneError
			}
			err = zoneError
		}
		if err == nil {
			err = g.update(key, g.loop.file.UpdateFor(key, g.options.Self.Name, wallMS()))
		}
		if err != nil {
			g.warnLimited("subscriber_update_failed", advice.LogAttrs(err, "subscriber", key)...)
			continue
		}
		written++
	}
	return written
}
