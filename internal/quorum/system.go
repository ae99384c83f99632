package quorum

import (
	"context"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// systemHeader is the header with the sender's system id. Callers omit it while the id is
// unknown, and answers contain 0.
const systemHeader = "Barleyshelf-System"

// VerifyCallerSystem refuses calls from another system before they reach a handler, and adds this
// process's system id to each answer.
func VerifyCallerSystem(groups Groups) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			own := directory.SystemOf(groups.Groups())
			if peer := parseSystem(request.Header().Get(systemHeader)); !directory.MayBeSameSystem(own, peer) {
				return nil, foreignSystemError(own, peer)
			}
			response, err := next(ctx, request)
			if err == nil {
				response.Header().Set(systemHeader, formatSystem(directory.SystemOf(groups.Groups())))
			}
			return response, err
		}
	}
}

// verifyAnswerSystem adds this process's system id to a call, and turns an answer from another
// system into an error: the process at that address is not a replica of this system.
func (c *Client) verifyAnswerSystem(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		setSystem(request.Header().Set, directory.SystemOf(c.groups.Groups()))
		response, err := next(ctx, request)
		if err != nil {
			return nil, err
		}
		own := directory.SystemOf(c.groups.Groups())
		if peer := parseSystem(response.Header().Get(systemHeader)); !directory.MayBeSameSystem(own, peer) {
			return nil, foreignSystemError(own, peer)
		}
		return response, nil
	}
}

// foreignSystemError returns the error for a call between two systems. Its code is that of an
// unreachable process, so that the call is not retried repeatedly.
func foreignSystemError(own, peer uint64) error {
	return connect.NewError(connect.CodeUnavailable, &directory.ForeignSystem{Own: own, Other: peer})
}

// ReportsSystem reports whether an answer is from a process that stores its system id. Processes
// of an earlier release send no id, and drop it from every group that they change.
func ReportsSystem(answer http.Header) bool { return answer.Get(systemHeader) != "" }

func setSystem(set func(key, value string), system uint64) {
	if system != 0 {
		set(systemHeader, formatSystem(system))
	}
}

func formatSystem(system uint64) string { return strconv.FormatUint(system, 36) }

// parseSystem returns the system id in a header, or 0 if there is no valid one.
func parseSystem(value string) uint64 {
	system, err := strconv.ParseUint(value, 36, 64)
	if err != nil {
		return 0
	}
	return system
}
