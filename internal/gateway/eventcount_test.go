package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// Guards against a stream of small events without end that is forwarded until its route's time.
func TestEventsBeyondTheDeclaredTokensEndTheStream(t *testing.T) {
	s := &stream{request: &request{service: route.Service{Engine: &route.Engine{Stride: 10}}, metadata: RequestMetadata{MaxTokens: 35, TokenBudget: -1}}}
	const most = declaredEventsFactor*4 + extraEvents
	event := streamEvent{data: []byte("x"), hasData: true}
	for s.eventCount = 0; s.eventCount < most; s.eventCount++ {
		require.NoError(t, s.checkEventCount(event))
	}
	require.NoError(t, s.checkEventCount(streamEvent{}), "a comment carries no tokens")
	var tooLarge *worker.ResponseTooLarge
	require.ErrorAs(t, s.checkEventCount(event), &tooLarge)
	require.Equal(t, worker.PartEvents, tooLarge.Part)
	s.request.metadata.Program, s.request.metadata.TokenBudget, s.eventCount = "p", 100, 3
	require.NoError(t, s.checkEventCount(event), "35 tokens are four events")
	s.eventCount = 4
	require.ErrorAs(t, s.checkEventCount(event), &tooLarge, "more would spend what is not reserved")
	s.request.metadata.MaxTokens = 0
	require.NoError(t, s.checkEventCount(event), "nothing was declared")
}
