package identity

import "fmt"

// CertificateError reports a file that holds no usable certificate or key.
type CertificateError struct {
	File  string
	Cause error
}

func (e *CertificateError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Cause }

// NoCertificates reports a file without a PEM certificate.
type NoCertificates struct{}

func (e *NoCertificates) Error() string { return "no PEM certificate in it" }

// NotADaemon reports a peer whose certificate does not name a daemon.
type NotADaemon struct{ Cause error }

func (e *NotADaemon) Error() string {
	return fmt.Sprintf("the peer's certificate is not a daemon's: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotADaemon) Unwrap() error { return e.Cause }

// PlainRefused reports a listener that has no certificate and for which plain
// TCP was not asked.
type PlainRefused struct{ Address string }

func (e *PlainRefused) Error() string {
	return fmt.Sprintf("%s: no certificate is set and plain TCP was not asked for", e.Address)
}
