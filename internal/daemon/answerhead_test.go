package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// Guards against heads of answers of engines, tools and the platform that fill a daemon's memory.
func TestHeadOfAnAnswerToADaemonBeyondItsBoundIsRefused(t *testing.T) {
	clients := map[string]*http.Client{"calls": newCallClient(newGate(), nil), "platform": newPlatformClient(newGate(), nil)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Filler", strings.Repeat("x", 2*transport.MaxResponseHeadBytes))
	}))
	t.Cleanup(server.Close)
	for name, client := range clients {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
		require.NoError(t, err)
		response, err := client.Do(request)
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
		require.Error(t, err, name)
	}
}
