package quorum

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// StreamStartDelay is how long the start of a stream may wait to be written with another call.
const StreamStartDelay = deferDelay

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
	c.AppendDeferred(&replicav1.Record{
		Kind:        &replicav1.Record_Stream{Stream: &replicav1.StreamStart{Content: stream.Content, Request: stream.Request, Version: version}},
		RetentionMs: retention.Milliseconds(),
	})
}

// StreamVersion returns the software version at which a stream began. If the stream's request is unknown, all
// streams of its content that a majority knows must have begun at the same version. It fails with *UnknownStream
// if no member of the stream's partition knows the version, or if it is ambiguous, and with *Unavailable if too
// few members answer.
func (c *Client) StreamVersion(ctx context.Context, stream StreamID) (string, error) {
	answered, needed := 0, 1
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if group := c.programGroup(stream.Content); group != nil {
			needed = ReadQuorum(VoterCount(group))
			answers, complete := c.readStreamStarts(ctx, group, stream)
			if complete {
				return commonVersion(stream, startsIn(answers))
			}
			answered = len(answers)
		}
		if !pause.For(ctx, backoff) {
			return "", &Unavailable{Needed: needed, Answered: answered}
		}
	}
}

// readStreamStarts asks the members of a group for the starts of a stream. complete is set if the answers
// are enough: any that knows the start of a named request, or else a majority. Of streams with the same
// content, each member may know another one.
func (c *Client) readStreamStarts(ctx context.Context, group *replicav1.Group, stream StreamID) (answers []*replicav1.ReadStreamResponse, complete bool) {
	read := func(member *replicav1.Member) *replicav1.ReadStreamResponse {
		return c.readStream(ctx, group, member, stream)
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
func (c *Client) readStream(ctx context.Context, group *replicav1.Group, member *replicav1.Member, stream StreamID) *replicav1.ReadStreamResponse {
	request := &replicav1.ReadStreamRequest{Epoch: group.Epoch, Partition: group.Partition, Content: stream.Content, Request: stream.Request}
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
