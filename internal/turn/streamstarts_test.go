package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

func streamRecord(content, request, version string) *replicav1.Record {
	return &replicav1.Record{
		Kind:        &replicav1.Record_Stream{Stream: &replicav1.StreamStart{Content: content, Request: request, Version: version}},
		RetentionMs: 1000,
	}
}

func versions(starts []*replicav1.StreamStart) (found []string) {
	for _, start := range starts {
		found = append(found, start.Version)
	}
	return found
}

func TestStartOfAStreamNeverChangesAndExpires(t *testing.T) {
	store, now := turn.NewStore(), time.Now()
	require.True(t, store.Apply(now, streamRecord("c", "a", "v1")))
	require.False(t, store.Apply(now, streamRecord("c", "a", "v2")))
	require.True(t, store.Apply(now, streamRecord("c", "b", "v2")))
	require.Equal(t, []string{"v1"}, versions(store.StreamStarts("c", "a")))
	require.ElementsMatch(t, []string{"v1", "v2"}, versions(store.StreamStarts("c", "")))
	require.Empty(t, store.StreamStarts("c", "other"))
	require.Empty(t, store.StreamStarts("other", "a"))
	records, _, _ := store.After(0, 1<<20)
	require.Len(t, records, 2, "a replica that recovers copies them")
	store.Expire(now.Add(time.Minute))
	require.Empty(t, store.StreamStarts("c", ""))
	require.Zero(t, store.Len())
	require.Zero(t, store.Bytes())
}
