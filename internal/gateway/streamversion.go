package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/eligibility"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// streamRetentionMargin is how long after the deadline of its request the start of a stream is kept.
	streamRetentionMargin = 5 * time.Second
	// maxStreamStartWait is how long a first event may wait for the start of its stream to be written.
	maxStreamStartWait = 250 * time.Millisecond
	// streamStartTimeout limits the write of a stream's start.
	streamStartTimeout = 3 * time.Second
	// maxStreamVersions bounds the streams that a gateway remembers itself.
	maxStreamVersions = 8192
)

// streamVersions remembers the versions of streams that began at this gateway. It is safe for
// concurrent use.
type streamVersions struct {
	now func() time.Time

	mutex   sync.Mutex
	streams map[quorum.StreamID]startedStream
}

type startedStream struct {
	version   string
	expiresAt time.Time
}

func newStreamVersions(now func() time.Time) *streamVersions {
	return &streamVersions{now: now, streams: make(map[quorum.StreamID]startedStream)}
}

// add remembers a stream, unless too many are remembered already: replicas know them too.
func (s *streamVersions) add(stream quorum.StreamID, version string, retention time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.streams) < maxStreamVersions {
		s.streams[stream] = startedStream{version: version, expiresAt: s.now().Add(retention)}
	}
}

// find returns the version of a stream, and false if it is not remembered.
func (s *streamVersions) find(stream quorum.StreamID) (version string, found bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	started, found := s.streams[stream]
	return started.version, found
}

func (s *streamVersions) removeExpired() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	for key, stream := range s.streams {
		if now.After(stream.expiresAt) {
			delete(s.streams, key)
		}
	}
}

// streamID returns the id of a stream with the content of this request that began with the given request.
func (r *request) streamID(firstRequestID string) quorum.StreamID {
	return quorum.StreamID{Content: r.contentKey().String(), Request: firstRequestID}
}

// streamVersion returns the version of the stream that the request continues; empty if there is none.
func (r *request) streamVersion() string {
	if r.stream == nil {
		return ""
	}
	return r.stream.Version
}

// streamBegan records which worker brings the first event that the request forwards. Further attempts
// may only go to workers of its version, and so may other requests by which the client resumes the
// stream.
func (r *request) streamBegan(chosen directory.Worker) {
	if r.stream != nil || !r.route.Resumable {
		return
	}
	r.stream = &eligibility.Stream{Version: chosen.Version, WorkerID: chosen.ID}
	if chosen.Version == "" || r.metadata.RequestID == "" {
		return
	}
	stream, retention := r.streamID(r.metadata.RequestID), max(0, time.Until(r.deadline))+streamRetentionMargin
	r.gateway.streamVersions.add(stream, chosen.Version, retention)
	if r.hasOneVersion() {
		r.gateway.quorum.RecordStreamStart(stream, chosen.Version, retention)
		return
	}
	r.writeStreamStart(stream, chosen.Version, retention)
}

// hasOneVersion reports whether the service has had one software version for as long as any of its streams
// may last, and this gateway would know of another one.
func (r *request) hasOneVersion() bool {
	return !r.gateway.updatesAreStale() && r.gateway.versionHistory.HasOneVersion(r.service.Name, r.streamLifetime())
}

// streamLifetime is for how long after its first event a client may resume a stream of the route.
func (r *request) streamLifetime() time.Duration { return r.route.Timeout + streamRetentionMargin }

// writeStreamStart writes the version of a stream before its first event is forwarded: once a client has
// that event, it may resume the stream without naming its request, where only another stream of the same
// content is known. The event waits for maxStreamStartWait at most; the write goes on.
func (r *request) writeStreamStart(stream quorum.StreamID, version string, retention time.Duration) {
	written := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), streamStartTimeout)
		defer cancel()
		written <- r.gateway.quorum.WriteStreamStart(ctx, stream, version, retention)
	}()
	timeout := time.NewTimer(maxStreamStartWait)
	defer timeout.Stop()
	select {
	case err := <-written:
		if err != nil {
			r.addLogEntry(eventStreamStartNotWritten, "version", version, "cause", err.Error())
		}
	case <-timeout.C:
		r.addLogEntry(eventStreamStartNotWritten, "version", version, "cause", "not written in time")
	}
}

// findResumedStream finds the version of the stream that the client resumes, if it does. It fails if the
// version is unknown: the stream must not go on at a version that it may not have begun at.
func (r *request) findResumedStream(ctx context.Context) error {
	if r.metadata.LastEventID == "" || !r.route.Resumable {
		return nil
	}
	first := r.metadata.ResumedRequestID
	version, source, err := r.lookUpStream(ctx, first)
	r.addLogEntry(eventStreamTakenUp, "first_request", first, "after_event", r.metadata.LastEventID, "version", version, "known_from", source, "cause", errorText(err))
	if err != nil {
		r.countContinuation(continuedByClient, err)
		return err
	}
	r.stream = &eligibility.Stream{Version: version}
	return nil
}

// lookUpStream returns the version of a stream, and who knows it.
func (r *request) lookUpStream(ctx context.Context, first string) (version, source string, err error) {
	stream := r.streamID(first)
	if version, found := r.gateway.streamVersions.find(stream); found {
		return version, "gateway", nil
	}
	if err := r.checkRemainingTime(); err != nil {
		return "", "", err
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxStreamLookup, r.slack()))
	defer cancel()
	origin, err := awaitStreamOrigin(ctx, r.gateway.quorum, stream, r.service.Name)
	if err == nil && stream.Request == "" {
		err = r.checkVersionAge(origin)
	}
	if err != nil {
		return "", "", &StreamVersionUnknown{Cause: err}
	}
	return origin.Version, "replicas", nil
}

// checkVersionAge fails if neither replicas nor this gateway have known the version of an unnamed stream for as
// long as a stream may last.
func (r *request) checkVersionAge(origin quorum.StreamOrigin) error {
	knownFor := max(origin.KnownFor, r.gateway.versionHistory.KnownFor(r.service.Name)[origin.Version])
	if knownFor < r.streamLifetime() {
		return &VersionTooNew{Version: origin.Version, KnownFor: knownFor}
	}
	return nil
}

// VersionTooNew reports a stream that a client resumes without naming its request. The known streams of its
// content began at a version that is so new that the stream itself may have begun at the one before, and its
// start may not have been written.
type VersionTooNew struct {
	Version string
	// KnownFor is for how long replicas or this gateway have known workers of the version.
	KnownFor time.Duration
}

func (e *VersionTooNew) Error() string {
	return fmt.Sprintf("streams of the same content began at version %q, which has been known for %v only", e.Version, e.KnownFor.Round(time.Millisecond))
}

// Type returns "version_too_new".
func (e *VersionTooNew) Type() failure.Type { return "version_too_new" }

// Outcome returns NotRun.
func (e *VersionTooNew) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a retry: the stream cannot go on.
func (e *VersionTooNew) Retry() failure.Retry { return failure.Retry{} }

// checkStreamVersion fails if the last selection found no worker at which the stream may continue.
// Waiting would not help: full workers are listed too.
func (r *request) checkStreamVersion() error {
	if r.stream == nil || r.eligible > 0 || r.ineligible[eligibility.OtherVersion]+r.ineligible[eligibility.VersionUnknown] == 0 {
		return nil
	}
	return &NoWorkerOfVersion{
		Service: r.service.Name, Version: r.stream.Version,
		OtherVersions: r.ineligible[eligibility.OtherVersion], UnknownVersions: r.ineligible[eligibility.VersionUnknown],
	}
}

// The values of the label by of metricStreamContinuations.
const (
	continuedByGateway = "gateway"
	continuedByClient  = "client"
)

// countContinuation counts a stream that was to go on after an event.
func (r *request) countContinuation(by string, err error) {
	outcome := "found"
	var unknown *StreamVersionUnknown
	var none *NoWorkerOfVersion
	switch {
	case errors.As(err, &unknown):
		outcome = "unknown"
	case errors.As(err, &none):
		outcome = "none_left"
	case err != nil:
		outcome = "failed"
	}
	r.gateway.metrics.continuations.WithLabelValues(by, outcome).Inc()
}

// StreamVersionUnknown reports a stream that its client resumes, and of which it is not known at which
// software version it began.
type StreamVersionUnknown struct {
	// Cause is why the version is unknown.
	Cause error
}

func (e *StreamVersionUnknown) Error() string {
	return fmt.Sprintf("the stream cannot be resumed, it is not known at which version it began: %v", e.Cause)
}

// Type returns "stream_version_unknown".
func (e *StreamVersionUnknown) Type() failure.Type { return "stream_version_unknown" }

// Outcome returns NotRun: nothing was sent to a worker.
func (e *StreamVersionUnknown) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry if replicas did not answer.
func (e *StreamVersionUnknown) Retry() failure.Retry {
	var unavailable *quorum.Unavailable
	if errors.As(e.Cause, &unavailable) {
		return failure.Retry{Allowed: true, After: defaultRetryAfter}
	}
	return failure.Retry{}
}

// Unwrap returns the cause.
func (e *StreamVersionUnknown) Unwrap() error { return e.Cause }

// NoWorkerOfVersion reports a stream that cannot go on because no worker of the version is left at which
// it began.
type NoWorkerOfVersion struct {
	Service, Version string
	// OtherVersions and UnknownVersions are how many workers have another version, or an unknown one.
	OtherVersions, UnknownVersions int
}

func (e *NoWorkerOfVersion) Error() string {
	return fmt.Sprintf("the stream began at version %q of %s, of which no worker is left (%d of other versions, %d of unknown ones)",
		e.Version, e.Service, e.OtherVersions, e.UnknownVersions)
}

// Type returns "no_worker_of_version".
func (e *NoWorkerOfVersion) Type() failure.Type { return "no_worker_of_version" }

// Outcome returns NotRun: the request was sent to no other worker.
func (e *NoWorkerOfVersion) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a retry: the stream has to begin anew.
func (e *NoWorkerOfVersion) Retry() failure.Retry { return failure.Retry{} }
