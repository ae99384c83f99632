package caller

import (
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// failureOf turns what ogen or a handler reports into a failure.
func failureOf(err error) failure.Failure {
	if found, ok := failure.As(err); ok {
		return found
	}
	var tooLarge *http.MaxBytesError
	var mediaType *validate.InvalidContentTypeError
	var security *ogenerrors.SecurityError
	var params *ogenerrors.DecodeParamsError
	var body *ogenerrors.DecodeRequestError
	var programID *structs.MalformedProgramID
	switch {
	case errors.As(err, &tooLarge):
		return &failure.TooLarge{LimitBytes: tooLarge.Limit}
	case errors.As(err, &mediaType):
		return &UnsupportedMediaType{Got: mediaType.ContentType}
	case errors.As(err, &security):
		return &failure.Unauthenticated{}
	case errors.As(err, &params):
		return &failure.Malformed{Field: "parameters", Reason: params.Err.Error()}
	case errors.As(err, &body):
		return &failure.Malformed{Field: "body", Reason: body.Err.Error()}
	case errors.As(err, &programID):
		return &failure.UnknownProgram{Program: programID.ID}
	}
	return failure.Classify(err)
}
