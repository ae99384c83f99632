package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ogen-go/ogen/sse"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 20

// answerEvent is the schema AnswerEvent.
type answerEvent struct {
	Attempt uint32           `json:"attempt"`
	Offset  uint64           `json:"offset"`
	Text    string           `json:"text"`
	Base64  []byte           `json:"base64"`
	Usage   *callerapi.Usage `json:"usage"`
}

// stream passes an answer's events to the sink until it is complete.
func (c *Client) stream(ctx context.Context, method, path string, body []byte, from caller.Sequence, sink caller.AnswerSink) error {
	response, err := c.send(ctx, method, path, eventType, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return follow(response, from, sink)
}

func follow(response *http.Response, sequence caller.Sequence, sink caller.AnswerSink) error {
	decoder := sse.NewDecoder(response.Body, 0, maxEventBytes, "", nil)
	for {
		event, err := decoder.Decode()
		if err != nil {
			// The stream must end with done or problem, so its end is a break.
			return &NoAnswer{Cause: err}
		}
		part, err := partOf(event)
		if err != nil {
			return err
		}
		part, err = sequence.Accept(part)
		if err != nil {
			return err
		}
		if err := sink.Part(part); err != nil {
			return &SinkFailed{Cause: err}
		}
		if part.Complete {
			return nil
		}
	}
}

// partOf reads one event. A problem event is the error that it tells.
func partOf(event sse.Event) (caller.AnswerPart, error) {
	if event.Type == caller.EventProblem {
		var problem callerapi.Problem
		if err := problem.UnmarshalJSON([]byte(event.Data)); err != nil {
			return caller.AnswerPart{}, &NoAnswer{Cause: err}
		}
		return caller.AnswerPart{}, failureFrom(problem)
	}
	var data answerEvent
	if err := json.Unmarshal([]byte(event.Data), &data); err != nil {
		return caller.AnswerPart{}, &NoAnswer{Cause: err}
	}
	part := caller.AnswerPart{
		Attempt:  data.Attempt,
		Offset:   data.Offset,
		Text:     data.Base64,
		Restart:  event.Type == caller.EventRestart,
		Complete: event.Type == caller.EventDone,
	}
	if data.Text != "" {
		part.Text = []byte(data.Text)
	}
	if data.Usage != nil {
		part.PromptTokens = data.Usage.PromptTokens
		part.AnswerTokens = data.Usage.AnswerTokens
		part.ReusedTokens = data.Usage.ReusedTokens
	}
	return part, nil
}
