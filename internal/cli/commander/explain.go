package commander

import (
	"fmt"
	"os"

	"marjorammoor/internal/logging/explainer"
)

type explainCommand struct {
	*output
	Request string `short:"r" long:"request" required:"true" value-name:"ID" description:"ID of the request"`
	Files   struct {
		Paths []string `positional-arg-name:"FILE" description:"JSON log files of nodes; standard input if none"`
	} `positional-args:"true"`
}

// Execute prints the log lines of one request.
func (c *explainCommand) Execute([]string) error {
	e := &explainer.Explainer{Request: c.Request}
	var err error
	if len(c.Files.Paths) == 0 {
		err = e.Stream(os.Stdin, c.out)
	} else {
		err = e.Files(c.Files.Paths, c.out)
	}
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	return nil
}
