package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerctl/tanagerclient"
	"tanagersail.example/tanagerctl/tanagerplay"
)

// playCommand sends example work.
type playCommand struct {
	files    []string
	observer string
	json     bool
}

func addPlayCommand(app *kingpin.Application, commands map[string]command) {
	play := app.Command("play", "Send the example work of files and print what became of it.")
	c := &playCommand{}
	play.Arg("file", "YAML files with example work.").Required().ExistingFilesVar(&c.files)
	play.Flag("observer", "Address of the stand-in of the VMs, to compare each outcome with what ran.").StringVar(&c.observer)
	addJSON(play, &c.json)
	commands[play.FullCommand()] = c
}

func (c *playCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var together tanagerplay.Play
	for _, file := range c.files {
		p, err := tanagerplay.Load(file)
		if err != nil {
			return err
		}
		together.Duration = max(together.Duration, p.Duration)
		together.Callers = append(together.Callers, p.Callers...)
	}
	results := tanagerplay.Run(ctx, together, tanagerplay.Settings{
		Daemons: client.Daemons(),
		Timer:   tanagertimer.NewReal(),
		Name:    strconv.FormatInt(time.Now().UnixNano(), 36),
	})
	if c.json {
		if err := printJSON(os.Stdout, results.List()); err != nil {
			return err
		}
	} else if err := results.WriteTable(os.Stdout); err != nil {
		return notWritten.Wrap(err, "table")
	}
	if c.observer == "" {
		return nil
	}
	return c.check(ctx, results)
}

// observations is what the stand-in of the VMs has seen.
type observations struct {
	TaskStarts  int                    `json:"task_starts"`
	RequestRuns int                    `json:"request_runs"`
	RunsByID    []tanagerplay.RunCount `json:"runs_by_id"`
	Violations  []struct {
		Kind string `json:"kind"`
		VM   string `json:"vm"`
		ID   string `json:"id"`
		Note string `json:"note"`
	} `json:"violations"`
}

// check compares the outcomes with what the observer saw.
func (c *playCommand) check(ctx context.Context, results *tanagerplay.Results) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.observer+"/control/observations", nil)
	if err != nil {
		return badAddress.Wrap(err, "%s", c.observer)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return tanagerclient.Unreachable.Wrap(err, "observer")
	}
	defer response.Body.Close()
	var seen observations
	if err := json.NewDecoder(response.Body).Decode(&seen); err != nil {
		return badFile.Wrap(err, "observer")
	}
	problems := results.Check(seen.RunsByID)
	for _, v := range seen.Violations {
		problems = append(problems, fmt.Sprintf("%s on %s: %s %s", v.Kind, v.VM, v.ID, v.Note))
	}
	for _, p := range problems {
		fmt.Println("WRONG:", p)
	}
	if len(problems) > 0 {
		return wrong.New("%d outcomes or observations are wrong", len(problems))
	}
	fmt.Printf("The observer saw %d request runs and %d task starts; every outcome agrees with it.\n", seen.RequestRuns, seen.TaskStarts)
	return nil
}
