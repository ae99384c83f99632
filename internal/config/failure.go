package config

import "fmt"

// StorageFailed reports that the data folder can't be used.
type StorageFailed struct {
	// Path is the file or folder.
	Path string
	// Cause is the operating system's error.
	Cause error
}

func (e *StorageFailed) Error() string {
	return fmt.Sprintf("configuration storage %s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *StorageFailed) Unwrap() error { return e.Cause }
