package main

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host = "ficu95.example"
	// stride is the tokens of one event, as in the site files.
	stride = 9
	// turnDeadline is the deadline of a turn, as in the site files.
	turnDeadline = 4 * time.Second
)

// answer is what a client saw of one attempt.
type answer struct {
	id     string
	status int
	// stamp is the worker's signature, and text the body as far as it came.
	stamp, text string
	// events counts the whole events of a stream.
	events int
	// whole is set if the answer ended as complete.
	whole bool
	err   error
	// endedAt is when the answer ended.
	endedAt time.Time
}

func newID() string { return strconv.FormatUint(rand.Uint64()|1<<63, 16) }

// ask makes one attempt on a new connection.
func ask(gateway, path, id, body string, header map[string]string) (seen answer) {
	seen.id = id
	ctx, cancel := context.WithTimeout(context.Background(), turnDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+path, strings.NewReader(body))
	if err != nil {
		return answer{id: id, err: err, endedAt: time.Now()}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(turnDeadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{id: id, err: err, endedAt: time.Now()}
	}
	defer response.Body.Close()
	seen.status, seen.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	reader, data := bufio.NewReader(response.Body), false
	var text strings.Builder
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		data = data || strings.HasPrefix(line, "data:")
		if line == "\n" && data {
			seen.events++
			data = false
		}
		if err != nil {
			seen.whole = err == io.EOF
			if err != io.EOF {
				seen.err = err
			}
			break
		}
	}
	seen.text, seen.endedAt = text.String(), time.Now()
	return seen
}
