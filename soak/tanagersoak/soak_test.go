package tanagersoak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// regressionSeeds are seeds that once failed, with the causes. A seed repeats its
// schedule but not its timing, so each cause also has a test of its own elsewhere.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{
		seed:  15,
		cause: "two schedulers had the same epoch after a lost election",
	},
	{
		seed:  42,
		cause: "a scheduler mistook its successor's epoch for its own",
	},
	{
		seed:  110,
		cause: "starts that a new incarnation of a worker executed were considered lost",
	},
	{
		seed:  203,
		cause: "fault of the soak test: a job was cancelled between a state query and its check",
	},
	{
		seed:  19,
		cause: "fault of the soak test: a daemon's port was taken while it restarted",
	},
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tanagerd")
	command := exec.Command("go", "build", "-o", binary, ".")
	command.Dir = "../../tanagerd"
	out, err := command.CombinedOutput()
	qt.New(t).Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func TestSeeds(t *testing.T) {
	binary := buildDaemon(t)
	for _, r := range regressionSeeds {
		t.Logf("seed %d: %s", r.seed, r.cause)
		runSeed(t, binary, Settings{Seed: r.seed})
	}
}

// A run that includes connection faults.
func TestConnectionFaults(t *testing.T) {
	s := Settings{
		Seed:             1001,
		ConnectionFaults: true,
	}
	t.Logf("seed %d", s.Seed)
	runSeed(t, buildDaemon(t), s)
}

// A run that includes workers that shrink and grow again.
func TestCapacityChanges(t *testing.T) {
	s := Settings{
		Seed:             1301,
		ConnectionFaults: true,
		CapacityChanges:  true,
	}
	t.Logf("seed %d", s.Seed)
	runSeed(t, buildDaemon(t), s)
}

// A run that includes tasks that crash the workers that start them.
func TestCrashingTasks(t *testing.T) {
	s := Settings{
		Seed:             1401,
		ConnectionFaults: true,
		CapacityChanges:  true,
		CrashingJobs:     true,
	}
	t.Logf("seed %d", s.Seed)
	runSeed(t, buildDaemon(t), s)
}

// A run in which the scheduler changes again and again under the load of a large site.
func TestTakeovers(t *testing.T) {
	s := Settings{
		Binary:        buildDaemon(t),
		Seed:          9001,
		Daemons:       TakeoverDaemons,
		Workers:       TakeoverWorkers,
		FaultDuration: 12 * time.Second,
		SettleTimeout: 90 * time.Second,
		Takeovers:     true,
		Record:        true,
	}
	t.Logf("seed %d", s.Seed)
	report, err := Run(s)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	t.Log(report)
	c.Check(report.Violations, qt.HasLen, 0)
	c.Check(report.Accepted > 0, qt.IsTrue)
}

// runSeed plays a seed with the kinds of faults that are set.
func runSeed(t *testing.T, binary string, s Settings) {
	t.Helper()
	s.Binary = binary
	s.Daemons = 4
	s.Workers = 10
	s.FaultDuration = 8 * time.Second
	s.SettleTimeout = 90 * time.Second
	report, err := Run(s)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	t.Log(report)
	c.Check(report.Violations, qt.HasLen, 0)
	c.Check(report.Accepted > 0, qt.IsTrue)
}
