package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

// Guards against answers whose end is taken for that of their head: an empty success, or a stream that has ended.
func TestHeadThatIsCutOffIsNoAnswerOfAnEngine(t *testing.T) {
	calls := map[string]func(client *engine.Client, address string) error{
		"status": func(client *engine.Client, address string) error {
			_, err := client.Status(t.Context(), address)
			return err
		},
		"stream": func(client *engine.Client, address string) error {
			stream, err := client.Resume(t.Context(), address, "id", 0)
			if err != nil {
				return err
			}
			defer stream.Close()
			_, err = stream.Next()
			return err
		},
		"load reports": func(client *engine.Client, address string) error {
			watch, err := client.WatchStatus(t.Context(), address, time.Second)
			if err != nil {
				return err
			}
			defer watch.Close()
			_, err = watch.Next()
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cuts := transporttest.CutHeads(okHead)
			address := "http://" + transporttest.ServeCutHeads(t, cuts)
			client := engine.NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			for _, cut := range cuts {
				err := call(client, address)
				require.Error(t, err, fmt.Sprintf("%q, %s", cut.Sent, cut.End))
				require.NotErrorIs(t, err, io.EOF, "a cut stream has not ended: %q, %s", cut.Sent, cut.End)
			}
		})
	}
}
