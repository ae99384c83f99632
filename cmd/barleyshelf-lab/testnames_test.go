package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const repositoryRoot = "../.."

var (
	testName       = regexp.MustCompile(`\b(Test|Benchmark)[A-Z]\w*`)
	testDefinition = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)\w+)\(`)
)

// A renamed test must not leave a list or a page that names none: .ci/run passes over the names in KNOWN-RED.txt.
func TestDocumentsNameExistingTests(t *testing.T) {
	defined := definedTests(t)
	named := 0
	for _, page := range documents(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, name := range testName.FindAllString(string(text), -1) {
			named++
			// A page may give the beginning of a name, as a pattern for -run does.
			exists := slices.ContainsFunc(defined, func(each string) bool { return strings.HasPrefix(each, name) })
			require.True(t, exists, "%s names %s", page, name)
		}
	}
	require.NotZero(t, named)
}

// definedTests returns the names of all tests and benchmarks.
func definedTests(t *testing.T) (names []string) {
	require.NoError(t, filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range testDefinition.FindAllStringSubmatch(string(text), -1) {
			names = append(names, match[1])
		}
		return err
	}))
	return names
}

// documents returns the pages of the repository and the list of known failures.
func documents(t *testing.T) []string {
	pages, err := filepath.Glob(filepath.Join(repositoryRoot, "*.md"))
	require.NoError(t, err)
	pages = append(pages, filepath.Join(repositoryRoot, "KNOWN-RED.txt"))
	require.NoError(t, filepath.WalkDir(filepath.Join(repositoryRoot, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	}))
	return pages
}
