package tanagerscenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the folder of the programs under test, built once with the race
// detector.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "tanager-scenarios")
	if err != nil {
		panic(err)
	}
	binaries = dir
	for _, program := range []string{"tanagerd", "tanagerctl", "tanagerfake"} {
		build := exec.Command("go", "build", "-race", "-o", filepath.Join(dir, program), ".")
		build.Dir = filepath.Join("..", program)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

type cellKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values[cellKey{}] = new(*cell)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cell":     startCell,
			"crash":    crashProcess,
			"pause":    pauseProcess,
			"resume":   resumeProcess,
			"deafen":   deafenDaemon,
			"shutdown": stopProcess,
			"start":    startProcess,
			"store":    orderStore,
			"vm":       orderVM,
			"ctl":      runCtl,
			"play":     startPlay,
			"await":    awaitCondition,
			"expect":   expectCondition,
		},
	})
}

func cellOf(ts *testscript.TestScript) *cell { return *ts.Value(cellKey{}).(**cell) }

// cell N starts the stand-ins, with the VMs of fleet.yaml, and N daemons.
func startCell(ts *testscript.TestScript, _ bool, args []string) {
	*ts.Value(cellKey{}).(**cell) = newCell(ts, number(ts, args[0]))
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// crash NAME ends a process at once.
func crashProcess(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	c.signal(args[0], syscall.SIGKILL)
	_ = c.wait(args[0])
}

// pause NAME freezes a process.
func pauseProcess(ts *testscript.TestScript, _ bool, args []string) {
	cellOf(ts).signal(args[0], syscall.SIGSTOP)
}

// resume NAME ends a pause.
func resumeProcess(ts *testscript.TestScript, _ bool, args []string) {
	cellOf(ts).signal(args[0], syscall.SIGCONT)
}

// deafen NAME true|false cuts the connections of a daemon's peers to it, or ends
// that. What it sends still arrives.
func deafenDaemon(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	c.post("http://"+c.relays[args[0]]+"/control/cut", fmt.Sprintf(`{"cut": %s}`, args[1]))
}

// shutdown NAME asks a process to end and expects exit code 0.
func stopProcess(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	c.signal(args[0], syscall.SIGTERM)
	ts.Check(c.wait(args[0]))
}

// start NAME starts a daemon again.
func startProcess(ts *testscript.TestScript, _ bool, args []string) {
	cellOf(ts).startDaemon(args[0])
}

// store outage|ok|slow MS|lose N|refuse NAME orders faults of the store.
func orderStore(ts *testscript.TestScript, _ bool, args []string) {
	body := "{}"
	switch args[0] {
	case "outage":
		body = `{"outage": true}`
	case "ok":
	case "slow":
		body = fmt.Sprintf(`{"slow_ms": %s}`, args[1])
	case "lose":
		body = fmt.Sprintf(`{"lose_answers": %s}`, args[1])
	case "refuse":
		body = fmt.Sprintf(`{"refuse": [%q]}`, args[1])
	default:
		ts.Fatalf("unknown fault %s", args[0])
	}
	c := cellOf(ts)
	c.post("http://"+c.store+"/control/faults", body)
}

// vm NAME dead|paused|leaving|black_hole|reset|ok orders a fault of a VM.
func orderVM(ts *testscript.TestScript, _ bool, args []string) {
	body := "{}"
	switch args[1] {
	case "dead", "paused", "black_hole", "reset":
		body = fmt.Sprintf(`{%q: true}`, args[1])
	case "leaving":
		body = `{"state": "leaving"}`
	case "ok":
	default:
		ts.Fatalf("unknown fault %s", args[1])
	}
	c := cellOf(ts)
	c.post("http://"+c.fleet+"/control/vms/"+args[0], body)
}

// ctl TOKEN ARGS runs tanagerctl as operator, red or blue and shows its output
// to the commands stdout and stderr.
func runCtl(ts *testscript.TestScript, neg bool, args []string) {
	c := cellOf(ts)
	out, err := c.ctl(tokenOf(ts, args[0]), args[1:]...)
	_, _ = ts.Stdout().Write([]byte(out))
	ts.Check(os.WriteFile(filepath.Join(c.dir, "out"), []byte(out), 0o600))
	if (err != nil) != neg {
		ts.Fatalf("tanagerctl %s: %v", strings.Join(args[1:], " "), err)
	}
}

func tokenOf(ts *testscript.TestScript, who string) string {
	switch who {
	case "operator":
		return operatorToken
	case "red":
		return redToken
	case "blue":
		return blueToken
	case "nobody":
		return "a-token-that-nobody-has"
	}
	ts.Fatalf("unknown caller %s", who)
	return ""
}

// play FILE sends example work in the background.
func startPlay(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	p := &play{
		command: c.ctlCommand(redToken, "play", args[0], "--observer", c.fleet),
		done:    make(chan error, 1),
	}
	p.command.Stdout = &p.output
	p.command.Stderr = &p.output
	ts.Check(p.command.Start())
	c.plays = append(c.plays, p)
	go func() { p.done <- p.command.Wait() }()
}

// await CONDITION waits until it holds.
func awaitCondition(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	rest := args[1:]
	switch args[0] {
	case "played":
		c.awaitPlayed()
	case "runs":
		least := number(ts, rest[0])
		c.await("request runs", func() bool { return c.observations().RequestRuns >= least })
	case "tasks":
		least := number(ts, rest[0])
		c.await("task starts", func() bool { return c.observations().TaskStarts >= least })
	case "ready":
		c.await("ready", func() bool { return c.ready(rest[0]) })
	case "config":
		revision := number(ts, rest[0])
		c.awaitStatus("configuration", func(s status) bool { return s.ConfigRevision == revision }, rest[1:]...)
	case "members":
		count := number(ts, rest[0])
		c.awaitStatus("members", func(s status) bool { return len(s.Members) == count }, rest[1:]...)
	case "settled":
		c.awaitStatus("no targets held back and no shard recovering", func(s status) bool {
			return s.GatedTargets == 0 && s.Recovering == 0
		}, rest...)
	case "shards":
		c.awaitStatus("some shards", func(s status) bool { return len(s.Shards) > 0 }, rest...)
	case "no_right":
		c.awaitStatus("no right to act", func(s status) bool { return !s.StoreRight && !s.Grace }, rest...)
	case "grace":
		c.awaitStatus("the right by promises alone", func(s status) bool { return !s.StoreRight && s.Grace }, rest...)
	case "lease":
		c.awaitStatus("the right by the store", func(s status) bool { return s.StoreRight }, rest...)
	case "isolated":
		c.await("an isolated worker", func() bool { return c.anyStatus(func(s status) bool { return s.Counters.Isolated > 0 }) })
	default:
		ts.Fatalf("unknown condition %s", args[0])
	}
}

func (c *cell) anyStatus(condition func(status) bool) bool {
	for _, d := range c.daemons {
		if s, ok := c.status(d); ok && condition(s) {
			return true
		}
	}
	return false
}

// awaitPlayed waits for the example work to end. It fails if an outcome does not
// agree with the observer.
func (c *cell) awaitPlayed() {
	for _, p := range c.plays {
		err := <-p.done
		_, _ = c.ts.Stdout().Write(p.output.Bytes())
		c.ts.Check(os.WriteFile(filepath.Join(c.dir, "table"), p.output.Bytes(), 0o600))
		c.ts.Check(err)
	}
	c.plays = nil
}

// expect CONDITION fails unless it holds.
func expectCondition(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	switch args[0] {
	case "clean":
		for _, v := range c.observations().Violations {
			ts.Logf("%s on %s: %s %s", v.Kind, v.VM, v.ID, v.Note)
		}
		if n := len(c.observations().Violations); n > 0 {
			ts.Fatalf("%d violations", n)
		}
	case "starts":
		if got, want := c.observations().TaskStarts, number(ts, args[1]); got != want {
			ts.Fatalf("%d task starts, expected %d", got, want)
		}
	case "outcomes":
		c.expectOutcomes(args[1], args[2:])
	default:
		ts.Fatalf("unknown condition %s", args[0])
	}
}

// expectOutcomes compares columns of the table of the last play: expect outcomes
// "WORK" done=10 not_run=0.
func (c *cell) expectOutcomes(work string, wanted []string) {
	columns := map[string]int{
		"asked":   1,
		"done":    2,
		"failed":  3,
		"not_run": 4,
		"unknown": 5,
	}
	table := c.ts.ReadFile("table")
	for line := range strings.SplitSeq(table, "\n") {
		rest, ok := strings.CutPrefix(strings.TrimSpace(line), work)
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		for _, w := range wanted {
			name, value, _ := strings.Cut(w, "=")
			if fields[columns[name]] != value {
				c.ts.Fatalf("%s: %s is %s, expected %s", work, name, fields[columns[name]], value)
			}
		}
		return
	}
	c.ts.Fatalf("no row %q in the table", work)
}
