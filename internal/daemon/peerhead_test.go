package daemon_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// Guards against heads of other daemons' calls that fill a daemon's memory.
func TestHeadOfADaemonsCallBeyondItsBoundIsRefused(t *testing.T) {
	address := startDeployment(t).cluster.Members[0].Spec.PeerAddress
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Filler", strings.Repeat("x", 2*transport.MaxResponseHeadBytes))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}
