package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"sort"
	"strings"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
)

// DefaultMaxBodyBytes bounds a request's body; declarations of the target's
// size (11,000 engines, 7,700 tenants) fit.
const DefaultMaxBodyBytes = 32 << 20

// HandlerOptions configures the operators' HTTP API.
type HandlerOptions struct {
	Service *Service
	// TokensSHA256 maps an operator's name to the hex SHA-256 of its token.
	TokensSHA256 map[string]string
	// MaxBodyBytes bounds a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
}

// NewHandler returns the HTTP handler of the operators' API, to be mounted at
// "/v1/". The error is of the generated server's own set-up.
func NewHandler(options HandlerOptions) (http.Handler, error) {
	limit := options.MaxBodyBytes
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	generated, err := operatorapi.NewServer(
		&operations{service: options.Service},
		&security{operators: operatorsByHash(options.TokensSHA256)},
		operatorapi.WithErrorHandler(func(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
			writeProblem(w, failureOf(err, limit))
		}),
		operatorapi.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			writeProblem(w, &UnknownObject{Object: "resource " + r.URL.Path})
		}),
	)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		generated.ServeHTTP(w, r)
	}), nil
}

// failureOf turns an error of the generated server into a typed failure.
func failureOf(err error, limit int64) failure.Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &failure.TooLarge{LimitBytes: limit}
	}
	var refused *ogenerrors.SecurityError
	if errors.As(err, &refused) {
		return &failure.Unauthenticated{}
	}
	var params *ogenerrors.DecodeParamsError
	if errors.As(err, &params) {
		return &failure.Malformed{Field: "parameters", Reason: params.Err.Error()}
	}
	var body *ogenerrors.DecodeRequestError
	if errors.As(err, &body) {
		return &failure.Malformed{Field: "body", Reason: body.Err.Error()}
	}
	return failure.Classify(err)
}

// security knows operators by their bearer tokens.
type security struct {
	// operators maps the lower-case hex hash of a token to its operator. A look-up by
	// hash tells nothing of the token by its time.
	operators map[string]string
}

// operatorsByHash takes the first name where two operators have one token.
func operatorsByHash(tokens map[string]string) map[string]string {
	names := make([]string, 0, len(tokens))
	for name := range tokens {
		names = append(names, name)
	}
	sort.Sort(sort.Reverse(sort.StringSlice(names)))
	operators := make(map[string]string, len(tokens))
	for _, name := range names {
		operators[strings.ToLower(tokens[name])] = name
	}
	return operators
}

type operatorKey struct{}

// HandleOperatorToken implements operatorapi.SecurityHandler.
func (s *security) HandleOperatorToken(ctx context.Context, _ operatorapi.OperationName, credential operatorapi.OperatorToken) (context.Context, error) {
	sum := sha256.Sum256([]byte(credential.Token))
	name, known := s.operators[hex.EncodeToString(sum[:])]
	if !known {
		return ctx, &failure.Unauthenticated{}
	}
	return context.WithValue(ctx, operatorKey{}, name), nil
}

// operatorOf returns the operator that the security handler has let in.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
