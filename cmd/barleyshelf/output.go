package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

const outputJSON = "json"

// write puts value on stdout as JSON, or calls text to put it in words.
func (a *application) write(value any, text func(io.Writer)) error {
	if a.Output != outputJSON {
		text(a.stdout)
		return nil
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// failureReport is the JSON form of a failed command.
type failureReport struct {
	Type     failure.Type         `json:"type"`
	Detail   string               `json:"detail"`
	Outcome  failure.Outcome      `json:"outcome"`
	ExitCode int                  `json:"exitCode"`
	Retry    *retryReport         `json:"retry,omitempty"`
	Problems []strictyaml.Problem `json:"problems,omitempty"`
}

type retryReport struct {
	AfterMilliseconds int64 `json:"afterMilliseconds"`
}

// writeFailure puts the error on stderr in words, or on stdout as JSON.
func (a *application) writeFailure(err error, code int) {
	if a.Output != outputJSON {
		fmt.Fprintf(a.stderr, "barleyshelf: %v\n", err)
		return
	}
	report := failureReport{Type: "failed", Detail: err.Error(), Outcome: failure.NotRun, ExitCode: code}
	if code == exitUsage {
		report.Type = "wrong_use"
	}
	if found, ok := failure.As(err); ok {
		report.Type, report.Outcome = found.Type(), found.Outcome()
		if found.Retry().Allowed {
			report.Retry = &retryReport{AfterMilliseconds: found.Retry().After.Round(time.Millisecond).Milliseconds()}
		}
	}
	var invalid *strictyaml.Invalid
	if errors.As(err, &invalid) {
		report.Problems = invalid.Problems
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		fmt.Fprintf(a.stderr, "barleyshelf: %v\n", err)
	}
}
