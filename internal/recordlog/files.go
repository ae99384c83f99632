package recordlog

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// Reader is a segment that is open for reading.
type Reader interface {
	io.ReaderAt
	io.Closer
}

// File is a segment that is open for appending.
type File interface {
	Reader
	io.Writer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// FileSystem is the data folder. Tests replace it by a faulty one.
type FileSystem interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns a whole file.
	Read(name string) ([]byte, error)
	// OpenReader opens a file for reading.
	OpenReader(name string) (Reader, error)
	// Create makes a new file and makes its name last.
	Create(name string) (File, error)
	// OpenAppend opens a file for appending at an offset, and cuts it there.
	OpenAppend(name string, offset int64) (File, error)
	// Remove removes a file.
	Remove(name string) error
}

// Directory is a folder of the operating system.
type Directory string

const filePermission = 0o600

// List returns the names of all files.
func (f Directory) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
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
func (f Directory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(f), name))
}

// OpenReader opens a file for reading.
func (f Directory) OpenReader(name string) (Reader, error) {
	return os.Open(filepath.Join(string(f), name))
}

// Create makes a new file and syncs the folder. Where that fails, no file stays.
func (f Directory) Create(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(f), name), os.O_CREATE|os.O_EXCL|os.O_RDWR, filePermission)
	if err != nil {
		return nil, err
	}
	if err := f.sync(); err != nil {
		file.Close()
		return nil, errors.Join(err, f.Remove(name))
	}
	return file, nil
}

// OpenAppend opens a file for appending at an offset, and cuts it there.
func (f Directory) OpenAppend(name string, offset int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(f), name), os.O_RDWR, filePermission)
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
func (f Directory) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

func (f Directory) sync() error {
	folder, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
