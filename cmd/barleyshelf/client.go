package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
	"github.com/barleyshelf/barleyshelf/internal/operator"
)

// retryDelay is when to try again after no daemon could be reached.
const retryDelay = time.Second

// connection has the flags of every command that asks a daemon.
type connection struct {
	Addresses []string      `long:"address" env:"BARLEYSHELF_OPERATOR_ADDRESS" env-delim:"," value-name:"URL" description:"operator address of a daemon, such as https://10.1.0.4:7002; may be repeated: the next is tried where one can't be reached"`
	TokenFile string        `long:"token-file" value-name:"FILE" description:"file with the operator's bearer token (else BARLEYSHELF_OPERATOR_TOKEN)"`
	Authority string        `long:"authority" value-name:"FILE" description:"PEM certificates that sign the daemons' (else those of the system)"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"longest time of one request"`
}

// request is one request of the operator API.
type request func(context.Context, *operatorapi.Client) error

// OperatorToken implements operatorapi.SecuritySource.
func (c *connection) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	token := os.Getenv("BARLEYSHELF_OPERATOR_TOKEN")
	if c.TokenFile != "" {
		text, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return operatorapi.OperatorToken{}, &unreadableFile{path: c.TokenFile, cause: err}
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return operatorapi.OperatorToken{}, &wrongUse{reason: "no token: set --token-file or BARLEYSHELF_OPERATOR_TOKEN"}
	}
	return operatorapi.OperatorToken{Token: token}, nil
}

// ask sends one request to the first daemon that can be reached. Every request
// of the operator API may be repeated, so going on to the next does no harm.
func (c *connection) ask(ctx context.Context, send request) error {
	if len(c.Addresses) == 0 {
		return &wrongUse{reason: "no daemon: set --address or BARLEYSHELF_OPERATOR_ADDRESS"}
	}
	httpClient, err := c.httpClient()
	if err != nil {
		return err
	}
	var last error
	for _, address := range c.Addresses {
		client, err := operatorapi.NewClient(address, c, operatorapi.WithClient(httpClient))
		if err != nil {
			return &wrongUse{reason: fmt.Sprintf("address %q: %v", address, err)}
		}
		last = c.askOne(ctx, address, client, send)
		var unreachable *operatorUnreachable
		if !errors.As(last, &unreachable) {
			return last
		}
	}
	return last
}

func (c *connection) askOne(ctx context.Context, address string, client *operatorapi.Client, send request) error {
	bounded, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	err := send(bounded, client)
	var problem *operatorapi.ProblemStatusCode
	if errors.As(err, &problem) {
		return &refusal{problem: problem.Response}
	}
	if _, known := failure.As(err); err == nil || known {
		return err
	}
	return &operatorUnreachable{address: address, cause: err}
}

func (c *connection) httpClient() (*http.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if c.Authority == "" {
		return &http.Client{Transport: transport}, nil
	}
	text, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, &unreadableFile{path: c.Authority, cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &wrongUse{reason: c.Authority + " holds no PEM certificate"}
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: transport}, nil
}

// refusal is a failure that a daemon answered.
type refusal struct{ problem operatorapi.Problem }

func (e *refusal) Error() string { return e.problem.Detail.Or(e.problem.Title) }

// Type returns the type that the daemon answered.
func (e *refusal) Type() failure.Type {
	return failure.Type(strings.TrimPrefix(e.problem.Type, operator.ProblemTypeBase))
}

// Outcome returns what the daemon answered.
func (e *refusal) Outcome() failure.Outcome { return failure.Outcome(e.problem.Outcome) }

// Retry returns what the daemon answered.
func (e *refusal) Retry() failure.Retry {
	after := time.Duration(e.problem.RetryAfterMilliseconds.Or(0)) * time.Millisecond
	return failure.Retry{Allowed: e.problem.Retry, After: after}
}

// operatorUnreachable reports that no daemon gave an answer.
type operatorUnreachable struct {
	address string
	cause   error
}

func (e *operatorUnreachable) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.address, e.cause)
}

// Type returns "operator_unreachable".
func (e *operatorUnreachable) Type() failure.Type { return "operator_unreachable" }

// Outcome returns OutcomeUnknown: the request may have arrived.
func (e *operatorUnreachable) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry allows a repeat: every request of the operator API may be repeated.
func (e *operatorUnreachable) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: retryDelay}
}

// Unwrap returns the cause.
func (e *operatorUnreachable) Unwrap() error { return e.cause }

// unreadableFile reports a file named by a flag that can't be read.
type unreadableFile struct {
	path  string
	cause error
}

func (e *unreadableFile) Error() string { return fmt.Sprintf("%s: %v", e.path, e.cause) }

// Type returns "file_unreadable".
func (e *unreadableFile) Type() failure.Type { return "file_unreadable" }

// Outcome returns NotRun.
func (e *unreadableFile) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat before the file is there.
func (e *unreadableFile) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *unreadableFile) Unwrap() error { return e.cause }
