package worker

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

// Guards against answers whose end is taken for that of their head: an empty success.
func TestHeadThatIsCutOffIsNoResponse(t *testing.T) {
	heads := map[string]string{
		"with a length":     "HTTP/1.1 200 OK\r\n" + echoedHeader + ": r\r\nContent-Length: 5\r\n\r\n",
		"without a length":  "HTTP/1.1 200 OK\r\n" + echoedHeader + ": r\r\n\r\n",
		"chunked":           "HTTP/1.1 200 OK\r\n" + echoedHeader + ": r\r\nTransfer-Encoding: chunked\r\n\r\n",
		"after an interim":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + echoedHeader + ": r\r\n\r\n",
		"with line feeds":   "HTTP/1.1 200 OK\n" + echoedHeader + ": r\n\n",
		"with folded lines": "HTTP/1.1 200 OK\r\n" + echoedHeader + ": r\r\nX-Long: a\r\n b\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cuts := append(transporttest.CutHeads(head), transporttest.HeadCut{Sent: head, End: transporttest.Closed})
			address := transporttest.ServeCutHeads(t, cuts)
			pool := newPool()
			for _, cut := range cuts[:len(cuts)-1] {
				response, err := send(pool, address, "r", "r")
				if err == nil {
					response.Close()
				}
				require.Error(t, err, fmt.Sprintf("%q, %s", cut.Sent, cut.End))
			}
			response, err := send(pool, address, "r", "r")
			require.NoError(t, err, "the whole head")
			response.Close()
		})
	}
}
