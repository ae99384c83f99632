package transport

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// readFrom reads a response of a length whole.
func readFrom(t *testing.T, inflow *Inflow, length int) (*http.Response, error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), length))
	}))
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	response, err := inflow.NewClient(http.DefaultClient).Do(request)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	return response, err
}

func TestResponsePassesUpToItsBoundAndNotBeyond(t *testing.T) {
	inflow := NewInflow()
	response, err := readFrom(t, inflow, MaxResponseBytes)
	require.NoError(t, err)
	require.EqualValues(t, MaxResponseBytes-smallMessageBytes, inflow.Held())
	require.NoError(t, response.Body.Close())
	require.Zero(t, inflow.Held())
	response, err = readFrom(t, inflow, MaxResponseBytes+1)
	var tooLarge *flowcontrol.MessageTooLarge
	require.ErrorAs(t, err, &tooLarge)
	_, err = response.Body.Read(make([]byte, 1))
	require.ErrorAs(t, err, &tooLarge, "who drains a body reads no more")
	require.NoError(t, response.Body.Close())
	require.Zero(t, inflow.Held())
}

// fillingBody fills each buffer that it is given and counts what was read.
type fillingBody struct{ read int }

func (f *fillingBody) Read(data []byte) (int, error) {
	f.read += len(data)
	return len(data), nil
}

func (f *fillingBody) Close() error { return nil }

// Guards against a read into a large buffer that takes in far more than the bound before it is counted.
func TestOneReadTakesInLittleBeyondTheBound(t *testing.T) {
	const allowed, buffer, endlessBytes = 1 << 20, 8 << 20, 64 << 20
	inflow := NewInflow()
	inflow.LimitHeld(allowed)
	source := &fillingBody{}
	body := &heldBody{ReadCloser: source, holding: inflow.newHolding("peer", MaxResponseBytes)}
	var err error
	for err == nil && source.read < endlessBytes {
		_, err = body.Read(make([]byte, buffer))
	}
	var exhausted *flowcontrol.BudgetExhausted
	require.ErrorAs(t, err, &exhausted)
	require.LessOrEqual(t, source.read, allowed+smallMessageBytes+maxReadBytes)
}

// Guards against responses within their bound that many calls at once hold together.
func TestResponsesShareABound(t *testing.T) {
	inflow := NewInflow()
	const allowed = maxHeldBytes / MaxResponseBytes
	var open []*http.Response
	for range allowed {
		response, err := readFrom(t, inflow, MaxResponseBytes)
		require.NoError(t, err)
		open = append(open, response)
	}
	refused, err := readFrom(t, inflow, MaxResponseBytes)
	var exhausted *flowcontrol.BudgetExhausted
	require.ErrorAs(t, err, &exhausted)
	small, err := readFrom(t, inflow, smallMessageBytes)
	require.NoError(t, err, "a small response needs none of it")
	for _, each := range append(open, refused, small) {
		require.NoError(t, each.Body.Close())
	}
	require.Zero(t, inflow.Held())
}

func TestLinePassesUpToItsBoundAndNotBeyond(t *testing.T) {
	inflow := NewInflow()
	longest := strings.Repeat("x", MaxLineBytes-1) + "\n"
	lines := inflow.NewLines("peer", strings.NewReader(longest+"short\n"+longest+"x"+longest))
	for _, want := range []int{len(longest), len("short\n"), len(longest)} {
		line, err := lines.Next()
		require.NoError(t, err)
		require.Len(t, line, want)
	}
	_, err := lines.Next()
	var tooLarge *flowcontrol.MessageTooLarge
	require.ErrorAs(t, err, &tooLarge)
	lines.Close()
	require.Zero(t, inflow.Held())
}

// Guards against responses that are broken off without being counted.
func TestRefusedResponsesAreCountedByBound(t *testing.T) {
	registry, engines, tools := telemetry.NewRegistry(), NewInflow(), NewInflow()
	engines.RegisterMetrics(registry, "engines")
	tools.RegisterMetrics(registry, "tools")
	tools.LimitHeld(smallMessageBytes)
	_, err := readFrom(t, engines, MaxResponseBytes+1)
	require.Error(t, err)
	for range 2 {
		_, err = readFrom(t, tools, 3*smallMessageBytes)
		require.Error(t, err)
	}
	mux, recorder := http.NewServeMux(), httptest.NewRecorder()
	telemetry.Mount(mux, registry, func() telemetry.Readiness { return telemetry.Readiness{} })
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, telemetry.PathMetrics, nil))
	exposed := recorder.Body.String()
	for series, want := range map[string]string{
		`{bound="one",peers="engines"}`: "1", `{bound="all",peers="engines"}`: "0",
		`{bound="one",peers="tools"}`: "0", `{bound="all",peers="tools"}`: "2",
	} {
		require.Contains(t, exposed, metricRefusedMessages.Name+series+" "+want+"\n")
	}
}
