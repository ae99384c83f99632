package quorum

import (
	"context"
	"fmt"
	"math"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// StreamStartDelay is how long the start of a stream may wait to be written with another call.
const StreamStartDelay = deferDelay

// maxKnownMs bounds the time that a replica may report, so that it fits a duration.
const maxKnownMs = uint64(math.MaxInt64 / time.Millisecond)

// StreamID identifies a stream of events.
type StreamID struct {
	// Content is a keyed hash of what all attempts of the stream's request have in common.
	Content string
	// Request is the client attempt that got the first event; empty if unknown.
	Request string
}

// RecordStreamStart writes the software version at which a stream began, with the next reservation or after
// StreamStartDelay. Until a replica has it, the version is unknown to other gateways.
func (c *Client) RecordStreamStart(stream StreamID, version string, retention time.Duration) {
	c.AppendDeferred(streamStartRecord(stream, version, retention))
}

// WriteStreamStart writes the software version at which a stream began, and returns once a majority has it.
func (c *Client) WriteStreamStart(ctx context.Context, stream StreamID, version string, retention time.Duration) error {
	return c.Append(ctx, stream.Content, streamStartRecord(stream, version, retention))
}

func streamStartRecord(stream StreamID, version string, retention time.Duration) *replicav1.Record {
	return &replicav1.Record{
		Kind:        &replicav1.Record_Stream{Stream: &replicav1.StreamStart{Content: stream.Content, Request: stream.Request, Version: version}},
		RetentionMs: retention.Milliseconds(),
	}
}

// StreamOrigin is what replicas know of the start of a stream.
type StreamOrigin struct {
	// Version is the software version at which the stream began.
	Version string
	// KnownFor is for how long any of the replicas has known workers of that version.
	KnownFor time.Duration
}

// StreamOrigin returns what replicas know of the start of a stream of a service. If the stream's request is
// unknown, all streams of its content that a majority knows must have begun at the same version. It fails with
// *UnknownStream if no member of the stream's partition knows the version, or if it is ambiguous, and with
// *Unavailable if too few members answer.
func (c *Client) StreamOrigin(ctx context.Context, stream StreamID, service string) (StreamOrigin, error) {
	answered, needed := 0, 1
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if group := c.programGroup(stream.Content); group != nil {
			needed = ReadQuorum(VoterCount(group))
			answers, complete := c.readStreamStarts(ctx, group, stream, service)
			if origin, err := originOf(stream, answers); complete {
				return origin, err
			}
			answered = len(answers)
		}
		if !pause.For(ctx, backoff) {
			return StreamOrigin{}, &Unavailable{Needed: needed, Answered: answered}
		}
	}
}

// readStreamStarts asks the members of a group for the starts of a stream. complete is set if the answers
// are enough: any that knows the start of a named request, or else a majority. Of streams with the same
// content, each member may know another one.
func (c *Client) readStreamStarts(ctx context.Context, group *replicav1.Group, stream StreamID, service string) (answers []*replicav1.ReadStreamResponse, complete bool) {
	read := func(member *replicav1.Member) *replicav1.ReadStreamResponse {
		return c.readStream(ctx, group, member, stream, service)
	}
	if stream.Request == "" {
		return readMajority(ctx, group, read)
	}
	isFound := func(answer *replicav1.ReadStreamResponse) bool { return len(answer.Starts) > 0 }
	found, absent, _ := readNearestFirst(ctx, c, group, read, isFound)
	if found != nil {
		answers = append(answers, found)
	}
	return answers, found != nil || absent
}

// originOf returns the common version of all starts in the answers.
func originOf(stream StreamID, answers []*replicav1.ReadStreamResponse) (StreamOrigin, error) {
	version, err := commonVersion(stream, startsIn(answers))
	if err != nil {
		return StreamOrigin{}, err
	}
	origin := StreamOrigin{Version: version}
	for _, answer := range answers {
		for _, known := range answer.Versions {
			if known.Version == version {
				origin.KnownFor = max(origin.KnownFor, time.Duration(min(known.KnownMs, maxKnownMs))*time.Millisecond)
			}
		}
	}
	return origin, nil
}

// startsIn returns the starts in all answers.
func startsIn(answers []*replicav1.ReadStreamResponse) (starts []*replicav1.StreamStart) {
	for _, answer := range answers {
		starts = append(starts, answer.Starts...)
	}
	return starts
}

// commonVersion returns the version of all starts.
func commonVersion(stream StreamID, starts []*replicav1.StreamStart) (string, error) {
	if len(starts) == 0 {
		return "", &UnknownStream{Stream: stream}
	}
	for _, start := range starts[1:] {
		if start.Version != starts[0].Version {
			return "", &UnknownStream{Stream: stream, Ambiguous: true}
		}
	}
	return starts[0].Version, nil
}

// readStream asks one member, through another gateway if the member does not answer. It returns nil if
// there was no answer.
func (c *Client) readStream(ctx context.Context, group *replicav1.Group, member *replicav1.Member, stream StreamID, service string) *replicav1.ReadStreamResponse {
	request := &replicav1.ReadStreamRequest{Epoch: group.Epoch, Partition: group.Partition, Content: stream.Content, Request: stream.Request, Service: service}
	if !c.reachability.isDown(member.Address) {
		answer := readMember(ctx, c, group, member, connect.NewRequest(request), c.ReplicaClient(member.Address).ReadStream)
		if answer != nil || ctx.Err() != nil || !c.reachability.isDown(member.Address) {
			return answer
		}
	}
	return c.forward(ctx, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_ReadStream{ReadStream: request},
	}).GetReadStream()
}

// UnknownStream reports a stream of which no replica knows at which software version it began.
type UnknownStream struct {
	Stream StreamID
	// Ambiguous is set if streams of the same content began at several versions, and the request that
	// began this one is unknown.
	Ambiguous bool
}

func (e *UnknownStream) Error() string {
	if e.Ambiguous {
		return "streams of the same content began at several versions"
	}
	return fmt.Sprintf("no replica knows a stream that began with request %q", e.Stream.Request)
}

// Type returns "unknown_stream".
func (e *UnknownStream) Type() failure.Type { return "unknown_stream" }

// Outcome returns NotRun.
func (e *UnknownStream) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a retry: the stream cannot go on.
func (e *UnknownStream) Retry() failure.Retry { return failure.Retry{} }
