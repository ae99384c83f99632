package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

const complete = `
node: daemon-1
region: taiwan
zone: taichung-1
listen:
  caller: 127.0.0.1:7001
  operator: 127.0.0.1:7002
  peer: 127.0.0.1:7003
seeds: [10.1.0.2:7003, 10.2.0.2:7003]
platformAddress: http://127.0.0.1:8080
tls:
  allowPlain: true
operatorTokensSHA256:
  lin: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
drainTimeoutMilliseconds: 30000
`

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestFlagsOverrideKeysInAnyOrder(t *testing.T) {
	path := write(t, complete)
	loaded, err := FromArguments([]string{
		"--zone", "nantou", "--settings", path, "--seed=10.9.0.1:7003", "--output", "json",
		"--tls.allow-plain=false", "--operator-token-sha256", "wu:" + "00",
	})
	require.NoError(t, err)
	require.EqualValues(t, "nantou", loaded.Zone)
	require.EqualValues(t, "daemon-1", loaded.Node)
	require.Equal(t, []string{"10.9.0.1:7003"}, loaded.Seeds)
	require.False(t, loaded.TLS.AllowPlain)
	require.Equal(t, map[string]string{"wu": "00"}, loaded.OperatorTokensSHA256)
	require.EqualValues(t, 30000, loaded.DrainTimeoutMilliseconds)
	require.EqualValues(t, DefaultMaxBodyBytes, loaded.MaxBodyBytes)
}

func TestCompleteFileIsValid(t *testing.T) {
	loaded, err := Load(write(t, complete))
	require.NoError(t, err)
	require.NoError(t, loaded.Validate())
	require.Equal(t, "127.0.0.1:7003", loaded.Advertised().Peer)
}

func TestEveryFaultOfAFileHasLineAndKey(t *testing.T) {
	_, err := Load(write(t, "node: 7\nzome: nantou\nlisten:\n  caller: 127.0.0.1:1\n  caller: 127.0.0.1:2\n  udp: x\nmaxBodyBytes: much\nseeds: one\ntls: &a {allowPlain: yes}\n"))
	var invalid *strictyaml.Invalid
	require.ErrorAs(t, err, &invalid)
	found := map[string]int{}
	for _, problem := range invalid.Problems {
		require.NotEmpty(t, problem.Allowed, problem.String())
		found[problem.Field] = problem.Line
	}
	require.Equal(t, map[string]int{
		"node": 1, "zome": 2, "listen.caller": 5, "listen.udp": 6, "maxBodyBytes": 7, "seeds": 8, "tls": 9,
	}, found)
}

func TestValidateReportsAllProblemsAtOnce(t *testing.T) {
	wrong := Settings{
		Node: "Daemon_1", Zone: "nantou",
		Listen:               Addresses{Caller: "localhost:1", Operator: "0.0.0.0:7002", Peer: "127.0.0.1:0"},
		Seeds:                []string{"10.0.0.1:0"},
		PlatformAddress:      "ftp://x",
		TLS:                  TLS{ServerCertificate: "cert.pem"},
		OperatorTokensSHA256: map[string]string{"lin": "secret"},
		LogVerbosity:         -1,
		Policy:               "fastest",
	}
	var invalid *strictyaml.Invalid
	require.ErrorAs(t, wrong.Validate(), &invalid)
	var fields []string
	for _, problem := range invalid.Problems {
		fields = append(fields, problem.Field)
	}
	require.ElementsMatch(t, []string{
		"node", "region", "listen.caller", "advertise.operator", "advertise.peer", "seeds", "platformAddress", "tls.serverKey",
		"tls.peerCertificate", "operatorTokensSHA256.lin", "maxBodyBytes", "drainTimeoutMilliseconds", "logVerbosity", "policy",
	}, fields)
}
