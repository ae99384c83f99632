package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// lateStart is a stream whose start is known from a time on.
type lateStart struct {
	knownFrom time.Time
	questions int
}

func (l *lateStart) StreamOrigin(_ context.Context, stream quorum.StreamID, _ string) (quorum.StreamOrigin, error) {
	l.questions++
	if time.Now().Before(l.knownFrom) {
		return quorum.StreamOrigin{}, &quorum.UnknownStream{Stream: stream}
	}
	return quorum.StreamOrigin{Version: "v1"}, nil
}

// Guards against streams that are refused because replicas write their starts slowly.
func TestStreamWhoseStartIsWrittenLateIsFound(t *testing.T) {
	for name, request := range map[string]string{"named": "first-attempt", "unnamed": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const written = quorum.StreamStartDelay + 700*time.Millisecond
				source := &lateStart{knownFrom: time.Now().Add(written)}
				origin, err := awaitStreamOrigin(t.Context(), source, quorum.StreamID{Content: "content", Request: request}, "model")
				require.NoError(t, err)
				require.Equal(t, "v1", origin.Version)
			})
		})
	}
}

func TestStreamThatIsNotKnownIsGivenUpAfterTheRetryWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		source := &lateStart{knownFrom: startedAt.Add(time.Hour)}
		_, err := awaitStreamOrigin(t.Context(), source, quorum.StreamID{Content: "content", Request: "first-attempt"}, "model")
		var unknown *quorum.UnknownStream
		require.ErrorAs(t, err, &unknown)
		require.InDelta(t, streamLookupRetryWindow.Seconds(), time.Since(startedAt).Seconds(), maxStreamLookupPause.Seconds())
		require.Less(t, source.questions, 10, "replicas are asked less and less often")
	})
}

func TestStreamThatIsNotNamedIsNotAskedForAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		_, err := awaitStreamOrigin(t.Context(), &lateStart{}, quorum.StreamID{Content: "content"}, "model")
		require.NoError(t, err)
		require.Equal(t, unnamedStreamDelay, time.Since(startedAt))
	})
}

// ambiguousStream counts how often it is asked for.
type ambiguousStream struct{ questions int }

func (a *ambiguousStream) StreamOrigin(_ context.Context, stream quorum.StreamID, _ string) (quorum.StreamOrigin, error) {
	a.questions++
	return quorum.StreamOrigin{}, &quorum.UnknownStream{Stream: stream, Ambiguous: true}
}

func TestStreamThatIsAmbiguousIsAskedForOnce(t *testing.T) {
	source := &ambiguousStream{}
	_, err := awaitStreamOrigin(t.Context(), source, quorum.StreamID{Content: "content", Request: "first-attempt"}, "model")
	require.Error(t, err)
	require.Equal(t, 1, source.questions)
}

// Guards against the wrong reason for a refusal, and against streams that are refused for ever by it.
func TestResumedStreamWithTooLittleTimeIsRefusedForItsTime(t *testing.T) {
	g := gatewayWithOptions(Options{})
	g.streamVersions, g.quorum = newStreamVersions(time.Now), quorum.NewClient(g.directory, "", http.DefaultClient)
	r := requestOnRoute(t, g, &route.Route{Name: "resumable", Kind: route.Streaming, Resumable: true})
	r.metadata.LastEventID, r.metadata.ResumedRequestID = "2", "first-attempt"
	r.deadline = time.Now().Add(300 * time.Millisecond)
	for range 64 {
		r.fastestResponse().Observe(time.Now(), time.Second)
	}
	var tooShort *TimeTooShort
	require.ErrorAs(t, r.findResumedStream(t.Context()), &tooShort)
}
