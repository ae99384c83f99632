package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// eventPause is the time between the events of a stream.
const eventPause = time.Millisecond

// modelWorker is a stand-in of a sound model worker: it answers each request with a stream of turnEvents events.
type modelWorker struct {
	id       string
	listener net.Listener
	server   *http.Server
}

func newModelWorker(id string) *modelWorker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	worker := &modelWorker{id: id, listener: listener}
	worker.server = &http.Server{Handler: worker}
	go worker.server.Serve(listener)
	return worker
}

func (w *modelWorker) address() string { return w.listener.Addr().String() }

func (w *modelWorker) close() { w.server.Close() }

func (w *modelWorker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	response.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	response.Header().Set("X-Server-Stamp", "stamp-"+id)
	response.Header().Set("Content-Type", "text/event-stream")
	for number := range turnEvents {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(response, "id: %d\ndata: %s-%d\n\n", number+1, id, number+1); err != nil {
			return
		}
		_ = http.NewResponseController(response).Flush()
	}
}
