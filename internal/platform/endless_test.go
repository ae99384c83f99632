package platform_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

// Guards against bytes of the platform without end that fill a daemon's memory.
func TestBytesOfThePlatformWithoutEndAreNotTakenIn(t *testing.T) {
	calls := map[string]struct {
		bound int64
		call  func(client *platform.Client) error
	}{
		"list": {transport.MaxResponseBytes, func(client *platform.Client) error {
			_, err := client.List(t.Context(), "config/")
			return err
		}},
		"machines": {transport.MaxResponseBytes, func(client *platform.Client) error {
			_, err := client.Machines(t.Context())
			return err
		}},
		"watch": {transport.MaxLineBytes, func(client *platform.Client) error {
			watch, err := client.Watch(t.Context(), "config/", 0)
			require.NoError(t, err)
			defer watch.Close()
			_, err = watch.Next()
			return err
		}},
	}
	for name, each := range calls {
		t.Run(name, func(t *testing.T) {
			address := transporttest.ServeEndlessly(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", " ")
			var reads transporttest.CountedReads
			require.Error(t, each.call(platform.NewClient(address, reads.NewClient())))
			require.Less(t, reads.Max(), transporttest.MaxRead(each.bound))
		})
	}
}
