package transport

import (
	"net/http"
	"strings"
)

// The statuses that are valid (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead fails if net/http has accepted an invalid head of a response, interim or not, or one in another major version
// of HTTP. Errors are *InvalidVersion, *InvalidStatus and *InvalidFieldName.
func CheckHead(response *http.Response, majorVersion int) error {
	if response.ProtoMajor != majorVersion {
		return &InvalidVersion{Version: response.Proto}
	}
	if err := checkStatus(response); err != nil {
		return err
	}
	return CheckFieldNames(response.Header)
}

// checkStatus fails with *InvalidStatus if the status of a response is invalid. net/http accepts any three characters that
// are a number.
func checkStatus(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &InvalidStatus{Status: response.Status}
	}
	return nil
}

// CheckFieldNames fails with *InvalidFieldName if the name of a header or trailer field contains a blank. net/http accepts
// such names and does not find the fields by them. It refuses all other names that are no token (RFC 9110, section 5.6.2).
func CheckFieldNames(fields map[string][]string) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return &InvalidFieldName{Name: name}
		}
	}
	return nil
}
