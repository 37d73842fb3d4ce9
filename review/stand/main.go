// Command stand plays one case of the review: it starts the platform's stand-ins and
// daemons, brings the disruption about unless TROUBLE is 0, and checks the rule by
// what the stand-ins have seen.
//
// # Usage
//
//	stand CASE RECORD
//
// It runs in the repository's root, writes what is seen to the file RECORD and exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds the time that a case takes.
const limit = 110 * time.Second

// registerDelay is how long after its start a new life of a minion writes its first
// entry, much less than a heartbeat.
const registerDelay = 300 * time.Millisecond

// play runs a case. It returns a description of each break of the rule.
type play func(rec *record, dir string, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"cordon":   playCordon,
	"progress": playProgress,
	"count":    playCount,
	"lease":    playLease,
	"cap":      playCap,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(playCase(os.Args[1], os.Args[2]))
}

func playCase(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", name, trouble)
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := plays[name](rec, dir, trouble)
		results <- result{
			broken: broken,
			err:    err,
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		closeWorlds()
		return 2
	case r := <-results:
		switch {
		case r.err != nil:
			rec.say("the case could not run: %v", r.err)
			return 2
		case len(r.broken) > 0:
			for _, b := range r.broken {
				rec.say("BROKEN: %s", b)
			}
			return 1
		}
		rec.say("the rule held")
		return 0
	case <-time.After(limit):
		rec.say("the case took too long")
		closeWorlds()
		return 2
	}
}
