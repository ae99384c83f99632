package tool_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/tool"
)

const toolName = structs.ToolName("release-cabinet")

func start(t *testing.T, remembers bool) (*emulator.Tool, *tool.Client, structs.Tool) {
	t.Helper()
	service := emulator.NewTool(emulator.ToolConfig{RemembersKeys: remembers})
	require.NoError(t, service.Start())
	t.Cleanup(service.Close)
	client := tool.NewClient(&http.Client{Transport: &http.Transport{}})
	return service, client, structs.Tool{Name: toolName, Address: service.Address()}
}

func TestCallRunsOnceAndAnswers(t *testing.T) {
	service, client, declared := start(t, false)
	result, err := client.Call(t.Context(), declared, "key-1", []byte("door 7"))
	require.NoError(t, err)
	require.Equal(t, emulator.ExpectedResult(toolName, []byte("door 7")), result.Body)
	ledger := service.Ledger()
	require.Len(t, ledger, 1)
	require.Equal(t, "key-1", ledger[0].Key)
	require.Equal(t, []byte("door 7"), ledger[0].Arguments)
}

func TestFailureSaysWhetherTheCallRan(t *testing.T) {
	unknown := &failure.ToolOutcomeUnknown{Tool: string(toolName)}
	ran := func(service *emulator.Tool) bool { return len(service.Ledger()) == 1 }
	arrived := func(service *emulator.Tool) bool { return service.Requests() == 1 }
	cases := map[string]struct {
		fault func(*emulator.ToolFaults)
		// leave is when the client gives the call up; nil for never.
		leave func(*emulator.Tool) bool
		want  error
		ran   int
	}{
		"refused": {func(f *emulator.ToolFaults) { f.Refuse.Store(true) }, nil, &failure.ToolRefused{Tool: string(toolName), Wait: time.Second}, 0},
		"failed":  {func(f *emulator.ToolFaults) { f.Fail.Store(true) }, nil, &failure.ToolFailed{Tool: string(toolName), Status: 500}, 1},
		"lost":    {func(f *emulator.ToolFaults) { f.LoseAnswer.Set(1) }, nil, unknown, 1},
		"hung":    {func(f *emulator.ToolFaults) { f.Hang.Store(true) }, ran, unknown, 1},
		"stuck":   {func(f *emulator.ToolFaults) { f.HangBefore.Store(true) }, arrived, unknown, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service, client, declared := start(t, false)
			c.fault(&service.Faults)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.leave != nil {
				go cancelWhen(ctx, cancel, func() bool { return c.leave(service) })
			}
			_, err := client.Call(ctx, declared, "key-1", []byte("door 7"))
			require.Equal(t, c.want, err)
			require.Len(t, service.Ledger(), c.ran, "no repeat is hidden in the client")
		})
	}
}

// cancelWhen cancels once a condition holds.
func cancelWhen(ctx context.Context, cancel context.CancelFunc, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		time.Sleep(time.Millisecond)
	}
	cancel()
}

func TestServiceThatIsDownDidNotRunTheCall(t *testing.T) {
	service, client, declared := start(t, false)
	service.Crash()
	_, err := client.Call(t.Context(), declared, "key-1", nil)
	require.IsType(t, &failure.ToolRefused{}, err)
	require.NoError(t, service.Restart())
	_, err = client.Call(t.Context(), declared, "key-1", nil)
	require.NoError(t, err)
}

func TestOutcomeByKey(t *testing.T) {
	service, client, declared := start(t, true)
	outcome, err := client.Outcome(t.Context(), declared, "key-1")
	require.NoError(t, err)
	require.Equal(t, tool.Outcome{Known: true}, outcome)
	service.Faults.LoseAnswer.Set(1)
	_, err = client.Call(t.Context(), declared, "key-1", []byte("door 7"))
	require.IsType(t, &failure.ToolOutcomeUnknown{}, err)
	outcome, err = client.Outcome(t.Context(), declared, "key-1")
	require.NoError(t, err)
	require.Equal(t, tool.Outcome{Known: true, Ran: true, Status: 200, Body: emulator.ExpectedResult(toolName, []byte("door 7"))}, outcome)
	service.Faults.LoseAnswer.Set(0)
	_, err = client.Call(t.Context(), declared, "key-1", []byte("door 7"))
	require.NoError(t, err)
	require.Equal(t, map[string]int{"key-1": 1}, service.ExecutionsByKey())
}

func TestOutcomeOfCallUnderWayIsPending(t *testing.T) {
	service, client, declared := start(t, true)
	service.Faults.Slow.Set(time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pending := func() bool {
		outcome, err := client.Outcome(ctx, declared, "key-1")
		return err == nil && outcome.Pending
	}
	go cancelWhen(ctx, cancel, pending)
	_, err := client.Call(ctx, declared, "key-1", nil)
	require.IsType(t, &failure.ToolOutcomeUnknown{}, err)
	outcome, err := client.Outcome(t.Context(), declared, "key-1")
	require.NoError(t, err)
	require.Equal(t, tool.Outcome{Known: true, Pending: true}, outcome)
}

func TestServiceThatForgetsKeysRunsAgain(t *testing.T) {
	service, client, declared := start(t, false)
	for range 2 {
		_, err := client.Call(t.Context(), declared, "key-1", nil)
		require.NoError(t, err)
	}
	require.Equal(t, map[string]int{"key-1": 2}, service.ExecutionsByKey())
	outcome, err := client.Outcome(t.Context(), declared, "key-1")
	require.NoError(t, err)
	require.Equal(t, tool.Outcome{}, outcome)
}
