package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// minWatchInterval bounds how often a watch of the status may ask for lines.
	minWatchInterval = 10 * time.Millisecond
	// watchCheck is how often a watch looks for a change other than of the load.
	watchCheck = 50 * time.Millisecond
)

// statusLine is one line of a watch of the status: a whole status, or the part
// that changes all the time, in the order running, waiting, queued tokens, used
// tokens of the cache.
type statusLine struct {
	Status *engineapi.Status `json:"status,omitempty"`
	Load   *[4]int64         `json:"load,omitempty"`
}

// serveWatch writes the status at once, at each change other than of the load,
// and the load at each interval.
func (e *Engine) serveWatch(w http.ResponseWriter, r *http.Request) {
	milliseconds, err := strconv.ParseInt(r.URL.Query().Get("intervalMilliseconds"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request", "intervalMilliseconds: not a number")
		return
	}
	interval := max(time.Duration(milliseconds)*time.Millisecond, minWatchInterval)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	e.copyStatus(r.Context(), json.NewEncoder(w), http.NewResponseController(w), interval)
}

func (e *Engine) copyStatus(ctx context.Context, encoder *json.Encoder, flusher *http.ResponseController, interval time.Duration) {
	ticker := time.NewTicker(min(interval, watchCheck))
	defer ticker.Stop()
	var sent structs.EngineStatus
	var due time.Time
	for {
		status := e.reported()
		now := time.Now()
		line, changed := nextLine(&status, &sent)
		if (changed || !now.Before(due)) && !e.Faults.Unresponsive.Load() {
			if encoder.Encode(line) != nil || flusher.Flush() != nil {
				return
			}
			sent = status
			due = now.Add(interval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// nextLine returns the line that tells of a status to one who has seen another,
// and whether more than the load differs.
func nextLine(status, seen *structs.EngineStatus) (statusLine, bool) {
	if sameButLoad(*status, *seen) {
		load := [4]int64{int64(status.Running), int64(status.Waiting), status.QueuedTokens, status.CacheUsedTokens}
		return statusLine{Load: &load}, false
	}
	return statusLine{Status: statusToAPI(*status)}, true
}

func sameButLoad(a, b structs.EngineStatus) bool {
	b.CacheUsedTokens, b.Running, b.Waiting, b.QueuedTokens = a.CacheUsedTokens, a.Running, a.Waiting, a.QueuedTokens
	return reflect.DeepEqual(a, b)
}
