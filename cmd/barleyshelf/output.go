package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
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
	// Harms and Conflict are what a daemon answered.
	Harms    []operatorapi.Harm    `json:"harms,omitempty"`
	Conflict *operatorapi.Conflict `json:"conflict,omitempty"`
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
	var answered *refusal
	if errors.As(err, &answered) {
		report.addAnswer(answered.problem)
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		fmt.Fprintf(a.stderr, "barleyshelf: %v\n", err)
	}
}

func (r *failureReport) addAnswer(problem operatorapi.Problem) {
	r.Harms = problem.Harms
	if conflict, set := problem.Conflict.Get(); set {
		r.Conflict = &conflict
	}
	for _, one := range problem.Problems {
		r.Problems = append(r.Problems, strictyaml.Problem{
			File:    one.File.Or(""),
			Line:    one.Line.Or(0),
			Field:   one.Field.Or(""),
			Reason:  one.Reason,
			Allowed: one.Allowed.Or(""),
		})
	}
}
