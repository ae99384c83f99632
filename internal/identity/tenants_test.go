package identity

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func configurationOf(tenants ...structs.Tenant) *structs.Configuration {
	return &structs.Configuration{Declarations: structs.Declarations{Tenants: tenants}}
}

func TestTenantOfToken(t *testing.T) {
	tenants := NewTenants()
	_, known := tenants.Tenant("a")
	require.False(t, known, "before a configuration")
	tenants.Update(configurationOf(
		structs.Tenant{Name: "voltkai", TokenSHA256: []string{HashToken("a"), HashToken("b")}},
		structs.Tenant{Name: "hofbauer", TokenSHA256: []string{HashToken("c"), "no hash", HashToken("")}},
	))
	for token, want := range map[string]structs.TenantID{"a": "voltkai", "b": "voltkai", "c": "hofbauer"} {
		tenant, known := tenants.Tenant(token)
		require.True(t, known)
		require.Equal(t, want, tenant)
	}
	for _, token := range []string{"", "d", "A", "a ", HashToken("a")} {
		_, known := tenants.Tenant(token)
		require.False(t, known, "%q", token)
	}
	tenants.Update(configurationOf(structs.Tenant{Name: "voltkai", TokenSHA256: []string{HashToken("b")}}))
	_, known = tenants.Tenant("a")
	require.False(t, known, "withdrawn token")
	tenants.Update(nil)
	_, known = tenants.Tenant("b")
	require.False(t, known)
}

// Hashes that begin alike stay apart.
func TestHashesWithOneKeyStayApart(t *testing.T) {
	hash := tokenHash{}
	copy(hash[:], mustHash(HashToken("secret")))
	near := hash
	near[31] ^= 1
	tenants := NewTenants()
	tenants.index.Store(&tokenIndex{hash.key(): {{hash: near, tenant: "near"}, {hash: hash, tenant: "exact"}}})
	tenant, known := tenants.Tenant("secret")
	require.True(t, known)
	require.Equal(t, structs.TenantID("exact"), tenant)
}

func mustHash(text string) []byte {
	hash, _ := parseHash(text)
	return hash[:]
}

// Over any order of declarations, exactly the tokens of the last one count.
func TestOnlyTheLastConfigurationCounts(t *testing.T) {
	names := rapid.SampledFrom([]structs.TenantID{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		tenants := NewTenants()
		last := map[string]structs.TenantID{}
		for range rapid.IntRange(1, 5).Draw(t, "versions") {
			last = rapid.MapOf(rapid.StringMatching("[a-d]{1,2}"), names).Draw(t, "tokens")
			var declared []structs.Tenant
			for token, tenant := range last {
				declared = append(declared, structs.Tenant{Name: tenant, TokenSHA256: []string{HashToken(token)}})
			}
			tenants.Update(configurationOf(declared...))
		}
		token := rapid.StringMatching("[a-d]{1,2}").Draw(t, "token")
		tenant, known := tenants.Tenant(token)
		want, declared := last[token]
		require.Equal(t, declared, known)
		require.Equal(t, want, tenant)
	})
}

func BenchmarkTenant(b *testing.B) {
	const declared = 7_700
	tenants := make([]structs.Tenant, declared)
	for i := range tenants {
		token := strconv.Itoa(i)
		tenants[i] = structs.Tenant{Name: "t", TokenSHA256: []string{HashToken(token)}}
	}
	index := NewTenants()
	index.Update(configurationOf(tenants...))
	for b.Loop() {
		index.Tenant("no such token of the usual length, 40 char")
	}
}
