package transporttest

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// RequireHeadRefused sends a call whose head is longer than a number of bytes to an address, and requires that it is
// refused for that.
func RequireHeadRefused(t testing.TB, address string, headBytes int) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Filler", strings.Repeat("x", headBytes))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}
