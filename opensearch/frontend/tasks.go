package frontend

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"chalkring/opensearch/query"
)

// task is one open search.
type task struct {
	id        uint64
	action    string
	opaqueID  string
	index     string
	startedAt time.Time
	cancel    context.CancelCauseFunc
}

var (
	errCancelled = errors.New("cancelled by a task request")
	errEnded     = errors.New("the search has ended")
)

// openTask registers a search. The returned context also ends when a _tasks request cancels the search.
func (f *Server) openTask(ctx context.Context, action, opaque, index string) (context.Context, *task, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tasks) >= maxOpenTasks {
		return nil, nil, &query.APIError{Status: 429, Type: "rejected_execution_exception", Reason: "too many searches are open"}
	}
	f.lastTaskID++
	ctx, cancel := context.WithCancelCause(ctx)
	t := &task{id: f.lastTaskID, action: action, opaqueID: opaque[:min(len(opaque), maxOpaqueIDBytes)], index: index, startedAt: time.Now(), cancel: cancel}
	f.tasks[t.id] = t
	return ctx, t, nil
}

func (f *Server) closeTask(t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.cancel(errEnded)
	delete(f.tasks, t.id)
}

func (f *Server) listTasks() reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]any{}
	for id, t := range f.tasks {
		headers := map[string]string{}
		if t.opaqueID != "" {
			headers["X-Opaque-Id"] = t.opaqueID
		}
		all[fmt.Sprintf("%s:%d", f.api.CoordinatorName, id)] = map[string]any{
			"node": f.api.CoordinatorName, "id": id, "action": t.action,
			"description": "indices[" + t.index + "]", "cancellable": true, "headers": headers,
			"start_time_in_millis": t.startedAt.UnixMilli(), "running_time_in_nanos": time.Since(t.startedAt).Nanoseconds(),
		}
	}
	return jsonReply(map[string]any{"nodes": map[string]any{f.api.CoordinatorName: map[string]any{"name": f.api.CoordinatorName, "tasks": all}}})
}

func (f *Server) cancelTask(name string) reply {
	node, number, _ := strings.Cut(name, ":")
	id, err := strconv.ParseUint(number, 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tasks[id]
	if err != nil || node != f.api.CoordinatorName || t == nil {
		return errorReply(404, "resource_not_found_exception", "task [%.100s] is not open", name)
	}
	t.cancel(errCancelled)
	return jsonReply(map[string]any{"nodes": map[string]any{f.api.CoordinatorName: map[string]any{
		"name":  f.api.CoordinatorName,
		"tasks": map[string]any{name: map[string]any{"node": f.api.CoordinatorName, "id": id, "action": t.action, "cancelled": true}},
	}}})
}
