package quorum

import (
	"context"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// systemHeader names the system of a caller, while it is known, and of what answers, 0 while it is
// not known.
const systemHeader = "Barleyshelf-System"

// VerifyCallerSystem refuses calls of another system before a handler sees them, and names the own one
// in each answer.
func VerifyCallerSystem(groups Groups) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			own := directory.SystemOf(groups.Groups())
			if peer := systemIn(request.Header().Get(systemHeader)); !directory.MayBeSameSystem(own, peer) {
				return nil, foreign(own, peer)
			}
			response, err := next(ctx, request)
			if err == nil {
				response.Header().Set(systemHeader, formatSystem(directory.SystemOf(groups.Groups())))
			}
			return response, err
		}
	}
}

// checkAnswer names the own system in a call, and takes an answer of another one for none: what is
// at the address is no replica of this system.
func (c *Client) checkAnswer(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		setSystem(request.Header().Set, directory.SystemOf(c.groups.Groups()))
		response, err := next(ctx, request)
		if err != nil {
			return nil, err
		}
		own := directory.SystemOf(c.groups.Groups())
		if peer := systemIn(response.Header().Get(systemHeader)); !directory.MayBeSameSystem(own, peer) {
			return nil, foreign(own, peer)
		}
		return response, nil
	}
}

// foreign returns the error of a call between two systems. Its code is that of a process which
// cannot be reached, so that calls are not sent again and again.
func foreign(own, peer uint64) error {
	return connect.NewError(connect.CodeUnavailable, &directory.ForeignSystem{Own: own, Other: peer})
}

// ReportsSystem reports whether an answer is of a process that keeps the name of its system. One of a
// former release names none and drops it from each group that it changes.
func ReportsSystem(answer http.Header) bool { return answer.Get(systemHeader) != "" }

func setSystem(set func(key, value string), system uint64) {
	if system != 0 {
		set(systemHeader, formatSystem(system))
	}
}

func formatSystem(system uint64) string { return strconv.FormatUint(system, 36) }

// systemIn returns the system that a header names; 0 is none, or nothing that could be one.
func systemIn(value string) uint64 {
	system, err := strconv.ParseUint(value, 36, 64)
	if err != nil {
		return 0
	}
	return system
}
