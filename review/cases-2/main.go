// Command cases-2 plays the script cases of the second review: it starts the project's programs and
// the stand-ins around them, and checks one rule from what clients and workers saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(s *play) (broken bool, err error){
	"budget":      playBudget,
	"chain":       playChain,
	"refused":     playRefused,
	"first-start": playFirstStart,
}

// play is what a case is given.
type play struct {
	folder, binary string
	record         *record
	// trouble is false if the case is to be played without its disruption.
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE FOLDER-OF-THE-CASE")
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	binary, err := filepath.Abs("target/barleyshelf")
	if err != nil {
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	chosen, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	broken, err := chosen(&play{folder: folder, binary: binary, record: record, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		record.line("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
