package caller_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// sendAll returns a call that sends the parts and then the error.
func sendAll(parts []caller.AnswerPart, end error) func(context.Context, caller.CallRequest, caller.AnswerSink) error {
	return func(_ context.Context, _ caller.CallRequest, sink caller.AnswerSink) error {
		for _, part := range parts {
			if err := sink.Part(part); err != nil {
				return err
			}
		}
		return end
	}
}

// collector keeps a streamed answer as a caller would.
type collector struct {
	text     []byte
	restarts int
	complete bool
}

func (c *collector) Part(part caller.AnswerPart) error {
	if part.Restart {
		c.text = nil
		c.restarts++
	}
	c.text = append(c.text, part.Text...)
	c.complete = part.Complete
	return nil
}

func TestRestartVoidsWhatWasSentBefore(t *testing.T) {
	backend := &scriptedBackend{call: sendAll([]caller.AnswerPart{
		{Attempt: 1, Text: []byte("half an ans")},
		{Attempt: 2, Restart: true},
		{Attempt: 2, Text: []byte("whole")},
		{Attempt: 2, Offset: 5, Complete: true, PromptTokens: 7, AnswerTokens: 2, ReusedTokens: 4},
	}, nil)}
	server := serve(t, backend, nil)
	c := client.New(server.URL, token, server.Client())
	got := &collector{}
	require.NoError(t, c.Call(t.Context(), programA, modelCall(1), false, got))
	require.Equal(t, &collector{text: []byte("whole"), restarts: 1, complete: true}, got)
	whole, err := c.CallWhole(t.Context(), programA, modelCall(1), false)
	require.NoError(t, err)
	require.Equal(t, client.Answer{
		Number: 1, Attempt: 2, Text: []byte("whole"), PromptTokens: 7, AnswerTokens: 2, ReusedTokens: 4,
	}, whole)
}

// However an answer is cut into parts, in the middle of characters or doubled,
// and whatever its bytes, streaming and whole both give it back unchanged.
func TestEveryAnswerArrivesWhole(t *testing.T) {
	backend := &scriptedBackend{}
	server := serve(t, backend, nil)
	c := client.New(server.URL, token, server.Client())
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.OneOf(
			rapid.SliceOf(rapid.Byte()),
			rapid.Map(rapid.String(), func(s string) []byte { return []byte(s) }),
			rapid.Just([]byte("門 4 已打開，電池已釋放 🔋")),
		).Draw(t, "answer")
		backend.call = sendAll(drawParts(t, answer), nil)
		got := &collector{}
		require.NoError(t, c.Call(context.Background(), programA, modelCall(1), false, got))
		require.True(t, got.complete)
		require.Equal(t, string(answer), string(got.text))
		whole, err := c.CallWhole(context.Background(), programA, modelCall(1), false)
		require.NoError(t, err)
		require.Equal(t, string(answer), string(whole.Text))
	})
}

// drawParts cuts the answer; parts may overlap what came before.
func drawParts(t *rapid.T, answer []byte) []caller.AnswerPart {
	var parts []caller.AnswerPart
	for next := 0; next < len(answer); {
		from := rapid.IntRange(max(next-3, 0), next).Draw(t, "from")
		to := rapid.IntRange(next+1, len(answer)).Draw(t, "to")
		parts = append(parts, caller.AnswerPart{Attempt: 1, Offset: uint64(from), Text: answer[from:to]})
		next = to
	}
	return append(parts, caller.AnswerPart{Attempt: 1, Offset: uint64(len(answer)), Complete: true})
}

func TestBrokenAnswerIsNeverCalledComplete(t *testing.T) {
	engineGone := &failure.EngineGone{Engine: "e1"}
	first := caller.AnswerPart{Attempt: 1, Text: []byte("abc")}
	cases := map[string]struct {
		parts []caller.AnswerPart
		end   error
		kind  failure.Type
	}{
		"gap":                {[]caller.AnswerPart{first, {Attempt: 1, Offset: 4, Text: []byte("e"), Complete: true}}, nil, "answer_gap"},
		"end before whole":   {[]caller.AnswerPart{first}, nil, "answer_gap"},
		"silent change":      {[]caller.AnswerPart{first, {Attempt: 2, Offset: 3, Text: []byte("d"), Complete: true}}, nil, "answer_gap"},
		"failure on the way": {[]caller.AnswerPart{first}, engineGone, "engine_gone"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := serve(t, &scriptedBackend{call: sendAll(c.parts, c.end)}, nil)
			calls := client.New(server.URL, token, server.Client())
			got := &collector{}
			err := calls.Call(t.Context(), programA, modelCall(1), false, got)
			require.True(t, failure.IsType(err, c.kind), "%v", err)
			require.False(t, got.complete)
			_, err = calls.CallWhole(t.Context(), programA, modelCall(1), false)
			require.True(t, failure.IsType(err, c.kind), "%v", err)
		})
	}
}

// readFrom serves reads of an answer that is now in its second attempt.
func readFrom(answer string) func(uint64, caller.AnswerSink) error {
	return func(offset uint64, sink caller.AnswerSink) error {
		offset = min(offset, uint64(len(answer)))
		return sink.Part(caller.AnswerPart{Attempt: 2, Offset: offset, Text: []byte(answer[offset:]), Complete: true})
	}
}

func TestReadGoesOnFromAnOffset(t *testing.T) {
	server := serve(t, &scriptedBackend{read: readFrom("0123456789")}, nil)
	c := client.New(server.URL, token, server.Client())
	got := &collector{}
	require.NoError(t, c.Read(t.Context(), programA, 1, caller.Sequence{Attempt: 2, Next: 4}, got))
	require.Equal(t, "456789", string(got.text))
}

func TestReadStartsAgainAfterAnotherAttempt(t *testing.T) {
	server := serve(t, &scriptedBackend{read: readFrom("0123456789")}, nil)
	c := client.New(server.URL, token, server.Client())
	for _, offset := range []uint64{4, 10, 400} {
		got := &collector{}
		require.NoError(t, c.Read(t.Context(), programA, 1, caller.Sequence{Attempt: 1, Next: offset}, got))
		require.Equal(t, &collector{text: []byte("0123456789"), restarts: 1, complete: true}, got)
	}
}

func TestLastEventIDStandsForTheOffset(t *testing.T) {
	var asked []uint64
	server := serve(t, &scriptedBackend{read: func(offset uint64, sink caller.AnswerSink) error {
		asked = append(asked, offset)
		return sink.Part(caller.AnswerPart{Attempt: 3, Offset: offset, Complete: true})
	}}, nil)
	for id, status := range map[string]int{"3:17": 200, "3": 400, "x:1": 400, "3:-1": 400} {
		request, err := http.NewRequestWithContext(t.Context(), "GET", server.URL+callsPath+"1", nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Last-Event-ID", id)
		response, err := server.Client().Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode, id)
	}
	require.Equal(t, []uint64{17}, asked)
}

// A caller that goes away ends the backend's request.
func TestCallerThatLeavesEndsTheRequest(t *testing.T) {
	ended := make(chan error, 1)
	server := serve(t, &scriptedBackend{call: func(ctx context.Context, _ caller.CallRequest, sink caller.AnswerSink) error {
		if err := sink.Part(caller.AnswerPart{Attempt: 1, Text: []byte("a")}); err != nil {
			return err
		}
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	}}, nil)
	ctx, leave := context.WithCancel(t.Context())
	c := client.New(server.URL, token, server.Client())
	err := c.Call(ctx, programA, modelCall(1), false, caller.AnswerSinkFunc(func(caller.AnswerPart) error {
		leave()
		return nil
	}))
	require.True(t, failure.IsType(err, "no_answer"), "%v", err)
	require.ErrorIs(t, <-ended, context.Canceled)
}

// blockingCall tells when it is entered and completes once it may leave.
func blockingCall(entered, leave chan struct{}) func(context.Context, caller.CallRequest, caller.AnswerSink) error {
	return func(ctx context.Context, _ caller.CallRequest, sink caller.AnswerSink) error {
		close(entered)
		select {
		case <-leave:
			return sink.Part(caller.AnswerPart{Attempt: 1, Complete: true})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
