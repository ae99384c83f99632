package transport

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against heads of answers of the platform's store, replicas and forwarders that fill a process's memory.
func TestHeadOfAnAnswerBeyondItsBoundIsRefused(t *testing.T) {
	clients := map[string]*http.Client{"store": NewHTTPClient(Options{}), "replicas": NewPeerClient(Options{}, 1)}
	for headBytes, isRefused := range map[int]bool{MaxResponseHeadBytes / 2: false, 2 * MaxResponseHeadBytes: true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Filler", strings.Repeat("x", headBytes))
		}))
		t.Cleanup(server.Close)
		for name, client := range clients {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
			require.NoError(t, err)
			response, err := client.Do(request)
			require.Equal(t, isRefused, err != nil, "%s, head of %d bytes: %v", name, headBytes, err)
			if err == nil {
				require.NoError(t, response.Body.Close())
			}
		}
	}
}
