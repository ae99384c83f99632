package requestkey_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/requestkey"
)

func TestOnlyRepeatsOfOneRequestShareItsKey(t *testing.T) {
	content := requestkey.Content{Tenant: "t", Method: "POST", Host: "h", Target: "/a", Program: "p", Body: []byte("b")}
	key := requestkey.Of(1, content)
	require.Equal(t, key, requestkey.Of(1, content))
	require.NotEqual(t, key, requestkey.Of(2, content), "the hash is keyed")
	for _, change := range []func(*requestkey.Content){
		func(c *requestkey.Content) { c.Tenant = "u" },
		func(c *requestkey.Content) { c.Method, c.Host = "POS", "Th" },
		func(c *requestkey.Content) { c.Target = "/b" },
		func(c *requestkey.Content) { c.Program = "q" },
		func(c *requestkey.Content) { c.Session = "s" },
		func(c *requestkey.Content) { c.PreviousTurn = "v" },
		func(c *requestkey.Content) { c.Prompt = []string{"x"} },
		func(c *requestkey.Content) { c.Body = []byte("c") },
	} {
		other := content
		change(&other)
		require.NotEqual(t, key, requestkey.Of(1, other))
	}
}

func BenchmarkOf(b *testing.B) {
	content := requestkey.Content{Tenant: "t", Method: "POST", Host: "h", Target: "/a", Program: "p", Body: make([]byte, 10<<10)}
	b.SetBytes(int64(len(content.Body)))
	for b.Loop() {
		requestkey.Of(1, content)
	}
}
