package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/platformapi"
)

// watchPoll is how often a watch without changes looks for a fault, while
// changes wake it at once.
const watchPoll = 100 * time.Millisecond

// platformHandler serves the object API and the machine list.
type platformHandler struct{ platform *Platform }

// platformProblem is an answer other than success.
type platformProblem struct {
	status int
	kind   string
	detail string
	found  uint64
}

func (e *platformProblem) Error() string { return e.detail }

var (
	errTooManyReaders = &platformProblem{status: http.StatusTooManyRequests, kind: "too_many_readers", detail: "too many readers"}
	errNoObject       = &platformProblem{status: http.StatusNotFound, kind: "not_found", detail: "no such object"}
)

func (h *platformHandler) GetObject(_ context.Context, params platformapi.GetObjectParams) (*platformapi.Object, error) {
	p := h.platform
	p.reads.Add(1)
	end, admitted := p.reading()
	if !admitted {
		return nil, errTooManyReaders
	}
	defer end()
	value, version, found := p.Object(params.Key)
	if !found {
		return nil, errNoObject
	}
	return &platformapi.Object{Key: params.Key, Version: version, Value: value}, nil
}

func (h *platformHandler) ListObjects(_ context.Context, params platformapi.ListObjectsParams) (*platformapi.ObjectList, error) {
	p := h.platform
	p.reads.Add(1)
	end, admitted := p.reading()
	if !admitted {
		return nil, errTooManyReaders
	}
	defer end()
	stored, _ := p.since(params.Prefix, 0)
	list := &platformapi.ObjectList{Objects: []platformapi.Object{}}
	for _, o := range stored {
		list.Revision = max(list.Revision, o.version)
		if !o.deleted {
			list.Objects = append(list.Objects, platformapi.Object{Key: o.key, Version: o.version, Value: o.value})
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Key < list.Objects[j].Key })
	return list, nil
}

func (h *platformHandler) PutObject(_ context.Context, request platformapi.PutObjectReq, params platformapi.PutObjectParams) (*platformapi.Stored, error) {
	value, err := io.ReadAll(request)
	if err != nil {
		cutConnection()
	}
	return h.write(params.Key, params.Expected, value, false)
}

func (h *platformHandler) DeleteObject(_ context.Context, params platformapi.DeleteObjectParams) (*platformapi.Stored, error) {
	return h.write(params.Key, params.Expected, nil, true)
}

func (h *platformHandler) write(key string, expected uint64, value []byte, deleted bool) (*platformapi.Stored, error) {
	p := h.platform
	p.writes.Add(1)
	version, done := p.swap(key, expected, value, deleted)
	if p.dice.hit(p.Faults.LoseAnswer.Get()) {
		cutConnection()
	}
	if !done {
		return nil, &platformProblem{status: http.StatusConflict, kind: "conflict", detail: "another version is stored", found: version}
	}
	return &platformapi.Stored{Version: version}, nil
}

func (h *platformHandler) ListMachines(_ context.Context, params platformapi.ListMachinesParams) (*platformapi.MachineList, error) {
	p := h.platform
	p.lists.Add(1)
	end, admitted := p.reading()
	if !admitted {
		return nil, errTooManyReaders
	}
	defer end()
	list := &platformapi.MachineList{Machines: []platformapi.Machine{}}
	for _, machine := range p.visibleMachines(time.Now()) {
		row := platformapi.Machine{Zone: string(machine.Zone), State: platformapi.MachineStateLive}
		if machine.Leaving {
			row.State = platformapi.MachineStateLeaving
		}
		if wanted, set := params.State.Get(); set && string(wanted) != string(row.State) {
			continue
		}
		row.Node.SetTo(string(machine.Node))
		row.Engine.SetTo(string(machine.Engine))
		row.Address.SetTo(machine.Address)
		list.Machines = append(list.Machines, row)
	}
	return list, nil
}

func (h *platformHandler) NewError(_ context.Context, err error) *platformapi.ProblemStatusCode {
	found, ok := err.(*platformProblem)
	if !ok {
		found = &platformProblem{status: http.StatusBadRequest, kind: "bad_request", detail: err.Error()}
	}
	answer := &platformapi.ProblemStatusCode{
		StatusCode: found.status,
		Response:   platformapi.Problem{Type: found.kind, Detail: found.detail},
	}
	answer.Response.Found.SetTo(found.found)
	return answer
}

// watchedObject is one line of a watch.
type watchedObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// serveWatch writes changes as they come until the client leaves or the store
// goes down.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	p.watches.Add(1)
	end, admitted := p.reading()
	if !admitted {
		writeProblem(w, errTooManyReaders.status, errTooManyReaders.kind, errTooManyReaders.detail)
		return
	}
	defer end()
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request", "after: not a version")
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	p.copyChanges(r.Context(), w, flusher, prefix, after)
}

func (p *Platform) copyChanges(ctx context.Context, w io.Writer, flusher *http.ResponseController, prefix string, after uint64) {
	encoder := json.NewEncoder(w)
	poll := time.NewTicker(watchPoll)
	defer poll.Stop()
	for !p.Faults.Down.Load() {
		if !p.Faults.Hang.Load() {
			changes, changed := p.since(prefix, after)
			for _, o := range changes {
				if encoder.Encode(watchedObject{Key: o.key, Version: o.version, Value: o.value, Deleted: o.deleted}) != nil {
					return
				}
				after = o.version
			}
			if len(changes) > 0 && flusher.Flush() != nil {
				return
			}
			if !waitChange(ctx, changed, poll.C) {
				return
			}
			continue
		}
		if !waitChange(ctx, nil, poll.C) {
			return
		}
	}
}

// waitChange reports false when the context ended.
func waitChange(ctx context.Context, changed <-chan struct{}, poll <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-poll:
		return true
	}
}
