package route

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestConfigurationContainsOnlyKeyHashes(t *testing.T) {
	const key = "gjqnirth5mgjy5rcpihh"
	priority := 0
	configuration := &Configuration{Version: 1, Tenants: []Tenant{
		{Name: "north", Keys: []KeyHash{HashKey(key)}, Priority: &priority, Quota: Quota{Rate: 3, Burst: 4}},
	}}
	document, err := json.Marshal(configuration)
	require.NoError(t, err)
	require.NotContains(t, string(document), key)
	decoded := &Configuration{}
	require.NoError(t, json.Unmarshal(document, decoded))
	require.Equal(t, configuration, decoded)
	require.Equal(t, "north", NewTable(decoded).Tenant(HashKey(key)).Name)
}

func TestInvalidKeyHashIsRejectedWithoutRepeatingIt(t *testing.T) {
	for _, text := range []string{"", "secret", strings.Repeat("zz", 32), strings.Repeat("ab", 33)} {
		var hash KeyHash
		err := hash.UnmarshalText([]byte(text))
		var invalid *InvalidKeyHash
		require.ErrorAs(t, err, &invalid)
		if text != "" {
			require.NotContains(t, err.Error(), text)
		}
	}
}

// TestTenantAgreesWithLinearSearch compares the index with a search through all keys.
func TestTenantAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Hashes with the same prefix share an entry of the index.
		hash := rapid.Custom(func(t *rapid.T) (result KeyHash) {
			result[0], result[31] = rapid.ByteRange(0, 1).Draw(t, "begin"), rapid.ByteRange(0, 3).Draw(t, "end")
			return result
		})
		configuration := &Configuration{}
		owners := make(map[KeyHash]string)
		for i := range rapid.IntRange(0, 6).Draw(t, "tenants") {
			each := Tenant{Name: string(rune('a' + i))}
			for range rapid.IntRange(0, 2).Draw(t, "keys") {
				key := hash.Draw(t, "key")
				if owners[key] == "" {
					owners[key] = each.Name
					each.Keys = append(each.Keys, key)
				}
			}
			configuration.Tenants = append(configuration.Tenants, each)
		}
		wanted := hash.Draw(t, "wanted")
		found := NewTable(configuration).Tenant(wanted)
		if owners[wanted] == "" {
			require.Nil(t, found)
			return
		}
		require.Equal(t, owners[wanted], found.Name)
	})
}

func TestTenantPriorityPrecedesRoutePriority(t *testing.T) {
	urgent, lessUrgent := &Route{Priority: 0}, &Route{Priority: 1}
	first, second := 0, 1
	urgentTenant, lessUrgentTenant, unranked := &Tenant{Priority: &first}, &Tenant{Priority: &second}, &Tenant{}
	require.Less(t, PriorityRank(lessUrgent, urgentTenant), PriorityRank(urgent, lessUrgentTenant))
	require.Less(t, PriorityRank(urgent, urgentTenant), PriorityRank(lessUrgent, urgentTenant), "within a tenant the more urgent route must come first")
	require.Less(t, PriorityRank(urgent, unranked), PriorityRank(lessUrgent, unranked))
	require.Equal(t, PriorityRank(urgent, nil), PriorityRank(urgent, unranked))
}
