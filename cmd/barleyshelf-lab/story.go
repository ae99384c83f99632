package main

import (
	"fmt"
	"os"

	"github.com/barleyshelf/barleyshelf/internal/lab/story"
)

// storyCommand prints what the logs say of one request.
type storyCommand struct {
	Request string `long:"request" required:"true" description:"id of the request"`
	Program bool   `long:"program" description:"also the other requests of its program"`
	Files   struct {
		Names []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`

	lab *laboratory
}

// StoryNotFound reports that no log names a request.
type StoryNotFound struct{ Request string }

func (e *StoryNotFound) Error() string { return fmt.Sprintf("no line names request %s", e.Request) }

// Execute reads the logs and prints the story.
func (c *storyCommand) Execute([]string) error {
	var lines []story.Line
	for _, name := range c.Files.Names {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		read, err := story.Read(file, name)
		file.Close()
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	found := story.Of(lines, c.Request, c.Program)
	if len(found) == 0 {
		return &StoryNotFound{Request: c.Request}
	}
	return story.Write(c.lab.stdout, found)
}
