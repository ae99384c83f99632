// Package story finds what happened to a request in the logs of many processes:
// the decisions about it and, where it belongs to a program, those about the
// program's other requests, in order of time.
package story

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
	microsecond  = int64(time.Microsecond)
)

// Line is one decision about a request.
type Line struct {
	// Source is the machine or file that logged it.
	Source string
	// At is the time of day at which the decision was taken, as that machine
	// told it.
	At time.Duration
	// Request and Program name what it is about.
	Request, Program string
	// Event is the number, Text the rest of the line.
	Event int
	Text  string
	order int
}

var (
	// klogLine finds klog's header: severity, month and day, time, process, place.
	klogLine   = regexp.MustCompile(`[IWE]\d{4} (\d{2}):(\d{2}):(\d{2})\.(\d{6})\s+\d+ \S+\] (.*)$`)
	eventKey   = regexp.MustCompile(`\bevent=(\d+)`)
	requestKey = regexp.MustCompile(`\brequest="([^"]*)"`)
	programKey = regexp.MustCompile(`\bprogram="([^"]*)"`)
	afterKey   = regexp.MustCompile(`\bafter_us=(\d+)`)
)

// Read returns the lines of a log that name a request. source names the machine
// where the lines do not begin with one.
func Read(from io.Reader, source string) ([]Line, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, found := parse(scanner.Text(), source); found {
			line.order = len(lines)
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parse reads one line. The decisions of a request are written at its end; each
// tells the time since the request came in.
func parse(text, source string) (Line, bool) {
	header := klogLine.FindStringSubmatchIndex(text)
	if header == nil {
		return Line{}, false
	}
	body := text[header[10]:header[11]]
	event, request := eventKey.FindStringSubmatch(body), requestKey.FindStringSubmatch(body)
	if event == nil || request == nil {
		return Line{}, false
	}
	line := Line{Source: source, Request: request[1], Text: body}
	line.Event, _ = strconv.Atoi(event[1])
	if program := programKey.FindStringSubmatch(body); program != nil {
		line.Program = program[1]
	}
	if words := strings.Fields(text[:header[0]]); len(words) > 0 {
		line.Source = words[len(words)-1]
	}
	line.At = clock(text, header)
	return line, true
}

func clock(text string, header []int) time.Duration {
	units := []time.Duration{time.Hour, time.Minute, time.Second, time.Microsecond}
	var at time.Duration
	for i, unit := range units {
		value, _ := strconv.Atoi(text[header[2+2*i]:header[3+2*i]])
		at += time.Duration(value) * unit
	}
	return at
}

// sinceArrival is the time between a request's arrival and the decision.
func (l Line) sinceArrival() time.Duration {
	if after := afterKey.FindStringSubmatch(l.Text); after != nil {
		count, _ := strconv.ParseInt(after[1], 10, 64)
		return time.Duration(count * microsecond)
	}
	return 0
}

// Of returns the lines about a request; with whole, those about all requests of
// its program. They are put back to the times of their decisions and sorted.
func Of(lines []Line, request string, whole bool) []Line {
	program := ""
	for _, line := range lines {
		if line.Request == request && line.Program != "" {
			program = line.Program
		}
	}
	arrivals := make(map[string]time.Duration)
	var chosen []Line
	for _, line := range lines {
		if line.Request != request && (!whole || program == "" || line.Program != program) {
			continue
		}
		key := line.Source + "/" + line.Request
		// The last line of a request is written as the decision is taken.
		arrivals[key] = line.At - line.sinceArrival()
		chosen = append(chosen, line)
	}
	for i, line := range chosen {
		chosen[i].At = arrivals[line.Source+"/"+line.Request] + line.sinceArrival()
	}
	sort.SliceStable(chosen, func(i, j int) bool {
		if chosen[i].At != chosen[j].At {
			return chosen[i].At < chosen[j].At
		}
		return chosen[i].order < chosen[j].order
	})
	return chosen
}

// Write prints a story, with times from its first line on.
func Write(to io.Writer, lines []Line) error {
	for _, line := range lines {
		offset := line.At - lines[0].At
		if _, err := fmt.Fprintf(to, "%10.3f ms  %-22s %s\n", float64(offset.Microseconds())/1000, line.Source, line.Text); err != nil {
			return err
		}
	}
	return nil
}
