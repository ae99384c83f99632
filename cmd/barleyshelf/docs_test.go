package main

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

func page(t *testing.T, path string) string {
	text, err := os.ReadFile("../../docs/" + path)
	require.NoError(t, err)
	return string(text)
}

// TestPageNamesEveryCommandAndFlag compares docs/CLI.md with the parser. The
// daemon's flags stand in docs/SETTINGS.md, which has a test of its own.
func TestPageNamesEveryCommandAndFlag(t *testing.T) {
	text := page(t, "CLI.md")
	for _, each := range commands(&application{context: context.Background()}) {
		_, section, found := strings.Cut(text, "\n## barleyshelf "+each.name+"\n")
		require.True(t, found, each.name)
		section, _, _ = strings.Cut(section, "\n## ")
		if each.name == "daemon" {
			continue
		}
		parser := flags.NewParser(each.data, flags.None)
		for _, group := range append(parser.Groups()[0].Groups(), parser.Groups()[0]) {
			for _, option := range group.Options() {
				where := section
				if group.ShortDescription == "Connection" {
					where = text
				}
				require.Contains(t, where, "--"+option.LongName, each.name)
			}
		}
	}
}

var (
	typeMethod = regexp.MustCompile(`Type\(\) (?:failure\.)?Type +\{ return "([a-z_]+)" \}`)
	typeName   = regexp.MustCompile("`([a-z]+(?:_[a-z]+)+|draining|overloaded|unauthenticated|internal)`")
)

// outsideModels are the packages of the lab: their failures reach nobody who
// runs the product.
var outsideModels = regexp.MustCompile(`/(gen|lab|emulator|simulation|workload)/`)

// TestPageListsEveryFailure compares the first cells of the tables of
// docs/operations/refusals.md with the failure types of the product, both ways.
func TestPageListsEveryFailure(t *testing.T) {
	listed := map[string]bool{}
	for line := range strings.SplitSeq(page(t, "operations/refusals.md"), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		for _, match := range typeName.FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			listed[match[1]] = true
		}
	}
	// Types that are made of a part of their own struct or of a constant.
	raised := map[string]bool{"invalid_settings": true, "invalid_declarations": true}
	for _, root := range []string{"../../internal", "."} {
		require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || outsideModels.MatchString(path) {
				return err
			}
			text, err := os.ReadFile(path)
			for _, match := range typeMethod.FindAllStringSubmatch(string(text), -1) {
				raised[match[1]] = true
			}
			return err
		}))
	}
	require.Greater(t, len(raised), 40)
	require.Equal(t, raised, listed)
}

// TestExitCodesMatchThePage compares the table for operators with the code.
func TestExitCodesMatchThePage(t *testing.T) {
	rows := 0
	for line := range strings.SplitSeq(page(t, "operations/refusals.md"), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !regexp.MustCompile(`^ [1-4] $`).MatchString(cells[2]) {
			continue
		}
		for _, match := range typeName.FindAllStringSubmatch(cells[1], -1) {
			code := exitCodeOf(&failure.Relayed{Kind: failure.Type(match[1])})
			require.Equal(t, strings.TrimSpace(cells[2]), string(rune('0'+code)), match[1])
			rows++
		}
	}
	require.Greater(t, rows, 15)
}

var (
	eventNumber  = regexp.MustCompile(`\b1[0-7][0-9]{2}\b`)
	eventDefined = regexp.MustCompile(`event\.Define\((1[0-7][0-9]{2}),`)
)

// TestPagesNameEventsThatExist looks up every event number of the operators'
// pages in the code. Round hundreds name ranges.
func TestPagesNameEventsThatExist(t *testing.T) {
	defined := map[string]bool{}
	require.NoError(t, filepath.WalkDir("../../internal", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range eventDefined.FindAllStringSubmatch(string(text), -1) {
			defined[match[1]] = true
		}
		return err
	}))
	named := 0
	for _, name := range []string{"day-one", "changing-a-declaration", "draining-a-zone", "lost-zone", "reading-events-and-metrics", "refusals", "upgrade"} {
		for _, number := range eventNumber.FindAllString(page(t, "operations/"+name+".md"), -1) {
			require.True(t, defined[number] || strings.HasSuffix(number, "00"), "%s names event %s", name, number)
			named++
		}
	}
	require.Greater(t, named, 30)
}
