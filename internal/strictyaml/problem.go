// Package strictyaml decodes YAML documents into Go structs and reports every
// unknown key, wrong kind and duplicate at once, each with its file and line.
// Anchors, aliases, tags and merge keys are refused: a declaration under review
// reads the same on every line.
package strictyaml

import (
	"fmt"
	"sort"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Problem is one fault of a file.
type Problem struct {
	// File is the path as it was given; empty for a value of a flag.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 when the fault has no line of its own.
	Line int `json:"line,omitempty"`
	// Field is the dotted path of the key, such as "spec.replicasPerZone".
	Field string `json:"field,omitempty"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
	// Allowed says what is accepted instead; empty where the reason says it.
	Allowed string `json:"allowed,omitempty"`
}

// String renders the problem as "file:line: field: reason (allowed: …)".
func (p Problem) String() string {
	var text strings.Builder
	if p.File != "" {
		text.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&text, "%d:", p.Line)
	}
	if text.Len() > 0 {
		text.WriteString(" ")
	}
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	text.WriteString(p.Reason)
	if p.Allowed != "" {
		text.WriteString(" (allowed: " + p.Allowed + ")")
	}
	return text.String()
}

// Invalid reports all problems of a set of files. It is never empty.
type Invalid struct {
	// What names the thing that was read: "settings" or "declarations".
	What string
	// Problems are sorted by file and line.
	Problems []Problem
}

// NewInvalid returns nil for no problems, else an *Invalid with them sorted.
func NewInvalid(what string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	sorted := append([]Problem(nil), problems...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].File != sorted[j].File {
			return sorted[i].File < sorted[j].File
		}
		return sorted[i].Line < sorted[j].Line
	})
	return &Invalid{What: what, Problems: sorted}
}

func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s: %d problems", e.What, len(e.Problems)))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Type returns "invalid_settings" or "invalid_declarations".
func (e *Invalid) Type() failure.Type { return failure.Type("invalid_" + e.What) }

// Outcome returns NotRun.
func (e *Invalid) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat: the same file is refused alike.
func (e *Invalid) Retry() failure.Retry { return failure.Retry{} }
