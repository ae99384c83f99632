package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// answering answers appends with a message that compresses well.
type answering struct {
	replicav1connect.UnimplementedReplicaServiceHandler
}

func (answering) Append(context.Context, *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	response := &replicav1.AppendResponse{}
	for range 100 {
		response.Entries = append(response.Entries, &replicav1.Entry{Id: "the same one again and again"})
	}
	return connect.NewResponse(response), nil
}

// headWatch notes what calls and answers say of compression.
type headWatch struct {
	accepted, encoded []string
}

func (w *headWatch) RoundTrip(request *http.Request) (*http.Response, error) {
	w.accepted = append(w.accepted, request.Header.Get("Accept-Encoding"))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		w.encoded = append(w.encoded, response.Header.Get("Content-Encoding"))
	}
	return response, err
}

// appendOnce makes one call and returns what it and its answer said.
func appendOnce(t *testing.T, client []connect.ClientOption, handler []connect.HandlerOption) *headWatch {
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(answering{}, handler...))
	server := httptest.NewServer(mux)
	defer server.Close()
	watch := &headWatch{}
	calls := replicav1connect.NewReplicaServiceClient(&http.Client{Transport: watch}, server.URL, client...)
	_, err := calls.Append(t.Context(), connect.NewRequest(&replicav1.AppendRequest{}))
	require.NoError(t, err)
	return watch
}

func TestCallsBetweenDaemonsAreNotCompressed(t *testing.T) {
	require.Equal(t, []string{compression}, appendOnce(t, nil, nil).encoded, "connect compresses by itself")
	require.Equal(t, []string{""}, appendOnce(t, nil, HandlerOptions()).encoded)
	require.NotContains(t, appendOnce(t, ClientOptions(), nil).accepted, compression)
	require.Equal(t, []string{""}, appendOnce(t, ClientOptions(), nil).encoded)
}
