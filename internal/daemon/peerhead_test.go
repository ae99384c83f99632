package daemon_test

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

// Guards against heads of other daemons' calls that fill a daemon's memory.
func TestHeadOfADaemonsCallBeyondItsBoundIsRefused(t *testing.T) {
	address := startDeployment(t).cluster.Members[0].Spec.PeerAddress
	transporttest.RequireHeadRefused(t, address, 2*transport.MaxResponseHeadBytes)
}
