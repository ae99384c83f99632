package recordlog

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// Reader reads a segment file.
type Reader interface {
	io.ReaderAt
	io.Closer
}

// File is a segment file that is open for reading and appending.
type File interface {
	Reader
	io.Writer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// FileSystem is access to the files of the data directory. Tests use one that fails.
type FileSystem interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns a whole file.
	Read(name string) ([]byte, error)
	// OpenReader opens a file for reading.
	OpenReader(name string) (Reader, error)
	// Create creates a new file; its directory entry survives a power loss.
	Create(name string) (File, error)
	// OpenAppend truncates a file to offset and opens it for appending.
	OpenAppend(name string, offset int64) (File, error)
	// Remove removes a file.
	Remove(name string) error
}

// Directory is a FileSystem on a directory of the operating system.
type Directory string

const filePermission = 0o600

// List returns the names of all files.
func (d Directory) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read returns a whole file.
func (d Directory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

// OpenReader opens a file for reading.
func (d Directory) OpenReader(name string) (Reader, error) {
	return os.Open(filepath.Join(string(d), name))
}

// Create creates a new file and syncs the directory. It removes the file if the sync fails.
func (d Directory) Create(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_EXCL|os.O_RDWR, filePermission)
	if err != nil {
		return nil, err
	}
	if err := d.syncDirectory(); err != nil {
		file.Close()
		return nil, errors.Join(err, d.Remove(name))
	}
	return file, nil
}

// OpenAppend truncates a file to offset and opens it for appending.
func (d Directory) OpenAppend(name string, offset int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR, filePermission)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(offset); err != nil {
		file.Close()
		return nil, err
	}
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Remove removes a file.
func (d Directory) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

func (d Directory) syncDirectory() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
