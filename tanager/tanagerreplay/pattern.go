package tanagerreplay

import (
	"embed"
	"math"
	"math/rand/v2"
	"path"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerreplay")

// InvalidPattern is the type of errors for load patterns that are not valid.
var InvalidPattern = Errors.NewType("invalid_pattern")

//go:embed patterns/*.yaml
var patternFiles embed.FS

// Pattern is a load pattern: bursts and faults that can be applied to any Load
// with the kinds of LadderLoad. Times are in seconds from the start of the load.
type Pattern struct {
	// Name is the name of the file without its suffix.
	Name        string `yaml:"-"`
	Description string `yaml:"description"`
	// RateFactor multiplies all arrival rates.
	RateFactor float64        `yaml:"rate_factor"`
	Bursts     []PatternBurst `yaml:"bursts"`
	Faults     []PatternFault `yaml:"faults"`
}

// PatternBurst multiplies the arrival rate of a kind of job for a time.
type PatternBurst struct {
	Kind      string  `yaml:"kind"`
	StartS    float64 `yaml:"start_s"`
	DurationS float64 `yaml:"duration_s"`
	Factor    float64 `yaml:"factor"`
}

// PatternFault is a fault of a load pattern.
type PatternFault struct {
	Kind      FaultKind `yaml:"kind"`
	StartS    float64   `yaml:"start_s"`
	DurationS float64   `yaml:"duration_s"`
	Share     float64   `yaml:"share"`
	Factor    float64   `yaml:"factor"`
}

// kindNames are the names that patterns give to the kinds of a load, in the order
// of Load.Kinds.
var kindNames = []string{"gang", "batch", "urgent"}

// The bounds of a pattern's values.
const (
	maxPatternSeconds = 120
	maxPatternFactor  = 20
)

// ParsePattern decodes a pattern. An error is of type InvalidPattern.
func ParsePattern(name string, content []byte) (Pattern, error) {
	p := Pattern{
		Name:       name,
		RateFactor: 1,
	}
	if err := yaml.UnmarshalWithOptions(content, &p, yaml.Strict()); err != nil {
		return Pattern{}, InvalidPattern.Wrap(err, "pattern %s", name)
	}
	if p.Description == "" || !inRange(p.RateFactor, 0, maxPatternFactor) {
		return Pattern{}, InvalidPattern.New("pattern %s lacks a description or has a rate factor of %v", name, p.RateFactor)
	}
	for i, b := range p.Bursts {
		if !slices.Contains(kindNames, b.Kind) || !inRange(b.StartS, 0, maxPatternSeconds) ||
			!inRange(b.DurationS, 0, maxPatternSeconds) || !inRange(b.Factor, 0, maxPatternFactor) {
			return Pattern{}, InvalidPattern.New("pattern %s: burst %d is out of range: %+v", name, i, b)
		}
	}
	for i, f := range p.Faults {
		if !f.Kind.known() || !inRange(f.StartS, 0, maxPatternSeconds) ||
			!inRange(f.DurationS, 0, maxPatternSeconds) || !inRange(f.Share, 0, 1) ||
			!inRange(f.Factor, 0, maxPatternFactor) || f.Kind == WorkersSlow && f.Factor == 0 {
			return Pattern{}, InvalidPattern.New("pattern %s: fault %d is out of range: %+v", name, i, f)
		}
	}
	return p, nil
}

func inRange(v, least, most float64) bool { return v >= least && v <= most }

func (k FaultKind) known() bool {
	switch k {
	case WorkersCrash, WorkersHang, WorkersSlow, WorkersFail, StoreOutage, SchedulerOutage, TasksCrash:
		return true
	}
	return false
}

// Patterns returns the patterns of this package in the order of their names.
func Patterns() ([]Pattern, error) {
	files, err := patternFiles.ReadDir("patterns")
	if err != nil {
		return nil, InvalidPattern.Wrap(err, "read the patterns")
	}
	var patterns []Pattern
	for _, f := range files {
		content, err := patternFiles.ReadFile(path.Join("patterns", f.Name()))
		if err != nil {
			return nil, InvalidPattern.Wrap(err, "read %s", f.Name())
		}
		p, err := ParsePattern(f.Name()[:len(f.Name())-len(path.Ext(f.Name()))], content)
		if err != nil {
			return nil, err
		}
		patterns = append(patterns, p)
	}
	return patterns, nil
}

// Apply returns the load under the pattern, with callers that have a deadline.
func (p Pattern) Apply(l Load) Load {
	l.Kinds = slices.Clone(l.Kinds)
	for i := range l.Kinds {
		l.Kinds[i].ArrivalRate *= p.RateFactor
	}
	l.CallerDeadline = callerDeadline
	l.Bursts = nil
	for _, b := range p.Bursts {
		l.Bursts = append(l.Bursts, Burst{
			Kind:     slices.Index(kindNames, b.Kind),
			Start:    secondsToDuration(b.StartS),
			Duration: secondsToDuration(b.DurationS),
			Factor:   b.Factor,
		})
	}
	l.Faults = nil
	for _, f := range p.Faults {
		l.Faults = append(l.Faults, Fault{
			Kind:     f.Kind,
			Start:    secondsToDuration(f.StartS),
			Duration: secondsToDuration(f.DurationS),
			Share:    f.Share,
			Factor:   f.Factor,
		})
	}
	return l
}

// callerDeadline is how long a caller goes on submitting a job.
const callerDeadline = 3 * time.Second

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DrawShape returns a deployment whose size, workers and jobs are drawn from a
// seed. Its jobs ask for somewhat less than the workers hold.
func DrawShape(seed uint64) Load {
	r := rand.New(rand.NewPCG(seed, 4))
	l := LadderLoad()
	l.Seed = seed
	l.Workers = 24 + r.IntN(73)
	l.RackSize = 4 + r.IntN(9)
	l.Advisers = 5 + r.IntN(10)
	l.Capacity = tanagerwork.Resources{
		MilliCPU: 8000 * int64(1+r.IntN(8)),
		MemoryMB: 32768 * int64(1+r.IntN(8)),
	}
	l.Kinds = slices.Clone(l.Kinds)
	for i := range l.Kinds {
		l.Kinds[i].drawShape(r, l.Capacity)
	}
	// Each kind gets a part of the load; half to nine tenths of the capacity is
	// asked for.
	load := 0.5 + 0.4*r.Float64()
	shares := []float64{0.2 + 0.3*r.Float64(), 0.2 + 0.3*r.Float64(), 0.2 + 0.3*r.Float64()}
	sum := shares[0] + shares[1] + shares[2]
	cores := float64(l.Workers) * float64(l.Capacity.MilliCPU) / 1000
	for i := range l.Kinds {
		k := &l.Kinds[i]
		work := k.Steps * k.Width * k.MilliCPU / 1000 * k.Duration.Seconds()
		k.ArrivalRate = load * cores * shares[i] / sum / work
	}
	return l
}

// drawShape varies the size of a kind of job by up to half, for workers of a given
// capacity.
func (k *Kind) drawShape(r *rand.Rand, capacity tanagerwork.Resources) {
	vary := func() float64 { return math.Exp((2*r.Float64() - 1) * math.Ln2 / 2) }
	ladder := LadderLoad().Capacity
	k.MilliCPU *= vary() * float64(capacity.MilliCPU) / float64(ladder.MilliCPU)
	k.MemoryMB *= vary() * float64(capacity.MemoryMB) / float64(ladder.MemoryMB)
	k.Width = max(k.Width*vary(), 1)
	k.Duration = time.Duration(float64(k.Duration) * vary())
	k.EligibleShare = min(k.EligibleShare*vary(), 1)
	advice := *k.Queue.Advice
	k.Queue.Advice = &tanagerport.AdvicePolicy{
		DecisionTime:  time.Duration(float64(advice.DecisionTime) * vary()),
		TimePerWorker: advice.TimePerWorker,
		TicketTTL:     advice.TicketTTL,
	}
}
