package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/event"

	// The product's own commands and roles define events too.
	_ "github.com/barleyshelf/barleyshelf/internal/gateway"
	_ "github.com/barleyshelf/barleyshelf/internal/operator"
	_ "github.com/barleyshelf/barleyshelf/internal/reload"
	_ "github.com/barleyshelf/barleyshelf/internal/replica"
	_ "github.com/barleyshelf/barleyshelf/internal/settings"
)

var updateDocuments = flag.Bool("update", false, "write generated documents instead of comparing them")

const (
	eventsDocument = "../../docs/EVENTS.md"
	eventsHeader   = `# Events

Every log line of a daemon is a numbered event: klog's key-value form with the key ` + "`event`" + `.
A number keeps its meaning for ever. Warnings carry ` + "`severity=\"warning\"`" + `; errors are klog errors.
Text, keys and values may grow; alert on numbers.

This table is generated: ` + "`go test ./cmd/barleyshelf-lab -run TestEventsDocument -update`" + `.

| number | severity | message | what to do |
|---|---|---|---|
`
)

// TestEventsDocument keeps docs/EVENTS.md equal to the events that the code
// defines.
func TestEventsDocument(t *testing.T) {
	want := eventsTable()
	if *updateDocuments {
		require.NoError(t, os.WriteFile(eventsDocument, []byte(want), 0o644))
	}
	have, err := os.ReadFile(eventsDocument)
	require.NoError(t, err)
	require.Equal(t, want, string(have))
}

func eventsTable() string {
	var table strings.Builder
	table.WriteString(eventsHeader)
	for _, defined := range event.All() {
		fmt.Fprintf(&table, "| %d | %s | %s | %s |\n", defined.Number, defined.Severity, defined.Message, defined.Action)
	}
	return table.String()
}
