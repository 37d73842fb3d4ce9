// Command play runs the scripted cases of the review. It starts members of a cell
// as separate processes, beside stand-ins for the platform, the minions and the
// clients, and checks one rule from what these stand-ins have seen.
//
// # Usage
//
//	review/bin/play --case removed-route --dir review/3 --trouble=true
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a run; every process is killed then.
const maxRunTime = 115 * time.Second

// caseFunc plays a case. It returns a description of each broken rule.
type caseFunc func(e *environment, trouble bool) ([]string, error)

var cases = map[string]caseFunc{
	"deadly-task":     playDeadlyTask,
	"reborn-minion":   playRebornMinion,
	"removed-route":   playRemovedRoute,
	"pending-count":   playPendingCount,
	"upkeep-takeover": playUpkeepTakeover,
	"wave-completed":  playWaveCompleted,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	binary := flag.String("daemon", "target/tanagerd", "program of the daemon")
	template := flag.String("template", "deploy/settings.yaml", "template of the daemon's settings")
	flag.Parse()
	os.Exit(run(*name, *dir, *binary, *template, *trouble))
}

func run(name, dir, binary, template string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "play: no case %q\n", name)
		return exitNotRun
	}
	e, err := newEnvironment(filepath.Join(dir, "record.txt"), binary, template)
	if err != nil {
		fmt.Fprintf(os.Stderr, "play: %v\n", err)
		return exitNotRun
	}
	defer e.close()
	timeout := time.AfterFunc(maxRunTime, func() {
		e.note("the run takes too long")
		e.close()
		os.Exit(exitNotRun)
	})
	defer timeout.Stop()
	e.note("case %s, trouble %v", name, trouble)
	broken, err := play(e, trouble)
	if err != nil {
		e.note("the case could not run: %v", err)
		fmt.Fprintf(os.Stderr, "play: %v\n", err)
		return exitNotRun
	}
	for _, b := range broken {
		e.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	e.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
