package tanagerreplay

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Kind is a kind of job. Sizes are drawn from log-normal distributions with the
// given mean and spread, the standard deviation of the logarithm.
type Kind struct {
	Queue tanagerport.Queue
	// PerSecond is the rate of arrivals.
	PerSecond float64
	// Steps and Width are the mean numbers of steps and of tasks in a step.
	Steps, Width, WidthSpread float64
	WidthMost                 int
	// MilliCPU and MemoryMB are a task's mean needs, Work its mean duration.
	MilliCPU, MemoryMB, NeedSpread float64
	Work                           time.Duration
	WorkSpread                     float64
	// EstimateSpread is how far estimates are from the duration.
	EstimateSpread float64
	// GangShare of the jobs are gangs; FailShare of the runs fail.
	GangShare, FailShare float64
	// GoodShare of the workers may run a step, where the queue has advice.
	GoodShare float64
	// Worth is earned by a mean job within its objective, Late by one within
	// three times the objective.
	Worth, Late float64
}

// Burst multiplies the arrivals of a kind for a time.
type Burst struct {
	Kind      int
	From, For time.Duration
	Factor    float64
}

// Load is a fleet and what comes at it.
type Load struct {
	Seed     uint64
	Duration time.Duration
	Workers  int
	RackSize int
	Capacity tanagerwork.Resources
	// Slow is the share of workers that take SlowFactor times as long.
	Slow, SlowFactor float64
	Advisers         int
	Kinds            []Kind
	Bursts           []Burst
	// Tries is how often a caller hands a job in.
	Tries int
}

const service = "pool"

// ladderAdvice and its like are the policies that the users state for today.
var (
	rerankAdvice = tanagerport.AdvicePolicy{Decision: 410 * time.Millisecond, Each: 5900 * time.Microsecond, Valid: 1500 * time.Millisecond}
	verifyAdvice = tanagerport.AdvicePolicy{Decision: 53 * time.Millisecond, Each: 750 * time.Microsecond, Valid: 1500 * time.Millisecond}
	pairAdvice   = tanagerport.AdvicePolicy{Decision: 9300 * time.Microsecond, Each: 130 * time.Microsecond, Valid: 1500 * time.Millisecond}
)

// Ladder is the load of a ladder service: urgent pairings, batch verification
// and gangs that recompute standings, on 48 large workers.
func Ladder() Load {
	return Load{
		Seed:     1,
		Duration: 30 * time.Second,
		Workers:  48,
		RackSize: 8,
		Capacity: tanagerwork.Resources{
			MilliCPU: 64000,
			MemoryMB: 262144,
		},
		Slow:       1.0 / 3,
		SlowFactor: 1.3,
		Advisers:   8,
		Tries:      5,
		Kinds: []Kind{
			{
				Queue:          queue("rerank", 1, 2, 2.2, time.Second, &rerankAdvice),
				PerSecond:      1.81,
				Steps:          1.2,
				Width:          8,
				WidthSpread:    0.8,
				WidthMost:      48,
				MilliCPU:       18000,
				MemoryMB:       52000,
				NeedSpread:     0.4,
				Work:           4 * time.Second,
				WorkSpread:     0.5,
				EstimateSpread: 0.2,
				GangShare:      1,
				FailShare:      0.005,
				GoodShare:      0.25,
				Worth:          11,
				Late:           2.2,
			},
			{
				Queue:          queue("verify", 2, 4, 4, 3*time.Second, &verifyAdvice),
				PerSecond:      6.82,
				Steps:          1.5,
				Width:          10,
				WidthSpread:    0.8,
				WidthMost:      60,
				MilliCPU:       3900,
				MemoryMB:       11000,
				NeedSpread:     0.45,
				Work:           2200 * time.Millisecond,
				WorkSpread:     0.5,
				EstimateSpread: 0.5,
				FailShare:      0.05,
				GoodShare:      0.45,
				Worth:          1.83,
				Late:           0.366,
			},
			{
				Queue:          queue("pair", 0, 4, 1.5, 250*time.Millisecond, &pairAdvice),
				PerSecond:      38.7,
				Steps:          1,
				Width:          2,
				WidthSpread:    0.8,
				WidthMost:      12,
				MilliCPU:       5600,
				MemoryMB:       16000,
				NeedSpread:     0.45,
				Work:           800 * time.Millisecond,
				WorkSpread:     0.5,
				EstimateSpread: 0.2,
				GangShare:      0.3,
				FailShare:      0.05,
				GoodShare:      0.7,
				Worth:          0.452,
				Late:           0.0904,
			},
		},
	}
}

// Grown returns the load of the ladder service on a fleet several times as large:
// wider steps of larger tasks, and advice that takes longer.
func Grown(l Load) Load {
	l.Workers = 350
	l.RackSize = 12
	l.Advisers = 38
	l.Kinds = slices.Clone(l.Kinds)
	l.Kinds[0].grow(5.96, 20, 18000, 49000, &tanagerport.AdvicePolicy{
		Decision: 442 * time.Millisecond,
		Each:     6370 * time.Microsecond,
		Valid:    1500 * time.Millisecond,
	})
	l.Kinds[1].grow(12.3, 25, 6900, 20000, &tanagerport.AdvicePolicy{
		Decision: 104 * time.Millisecond,
		Each:     1430 * time.Microsecond,
		Valid:    1500 * time.Millisecond,
	})
	l.Kinds[2].grow(110, 3.2, 9900, 28000, &tanagerport.AdvicePolicy{
		Decision: 11700 * time.Microsecond,
		Each:     169 * time.Microsecond,
		Valid:    1500 * time.Millisecond,
	})
	return l
}

// Evening is the grown ladder's heaviest load: more of each kind, and a burst of
// each in turn.
func Evening() Load {
	l := Grown(Ladder())
	for i := range l.Kinds {
		l.Kinds[i].PerSecond *= 1.1
	}
	l.Bursts = []Burst{
		{
			Kind:   1,
			From:   2 * time.Second,
			For:    4 * time.Second,
			Factor: 1.8,
		},
		{
			Kind:   2,
			From:   9 * time.Second,
			For:    4 * time.Second,
			Factor: 1.6,
		},
		{
			Kind:   0,
			From:   18 * time.Second,
			For:    4 * time.Second,
			Factor: 1.6,
		},
	}
	return l
}

func (k *Kind) grow(perSecond, width, milliCPU, memoryMB float64, advice *tanagerport.AdvicePolicy) {
	k.PerSecond = perSecond
	k.WidthMost = int(float64(k.WidthMost) * width / k.Width)
	k.Width = width
	k.MilliCPU = milliCPU
	k.MemoryMB = memoryMB
	k.Queue.Advice = advice
}

// Dispatching is the load of a dispatching service with small workers: the same
// shape as Ladder, with tasks a quarter of the size and wilder estimates.
func Dispatching() Load {
	l := Ladder()
	l.Capacity = tanagerwork.Resources{
		MilliCPU: 16000,
		MemoryMB: 32768,
	}
	l.Advisers = 9
	for i := range l.Kinds {
		l.Kinds[i].MilliCPU /= 4
		l.Kinds[i].MemoryMB /= 8
		l.Kinds[i].EstimateSpread = 0.7
	}
	return l
}

func queue(name string, priority, attempts int, stretch float64, slack time.Duration, advice *tanagerport.AdvicePolicy) tanagerport.Queue {
	return tanagerport.Queue{
		Name:        name,
		Service:     service,
		Priority:    priority,
		MaxAttempts: attempts,
		Stretch:     stretch,
		Slack:       slack,
		Advice:      advice,
	}
}

// Configuration returns the operator's side of the load.
func (l *Load) Configuration() tanagerport.Configuration {
	c := tanagerport.Configuration{
		Version:  1,
		Services: []tanagerport.Service{{Name: service}},
	}
	for _, k := range l.Kinds {
		c.Queues = append(c.Queues, k.Queue)
	}
	return c
}

// Entries returns the workers as the platform lists them.
func (l *Load) Entries() []tanagerport.WorkerEntry {
	var out []tanagerport.WorkerEntry
	for i := range l.Workers {
		rack := "r" + strconv.Itoa(i/l.RackSize)
		out = append(out, tanagerport.WorkerEntry{
			ID:       workerID(i),
			Life:     1,
			Service:  service,
			Rack:     rack,
			Labels:   []string{"a", rack},
			Capacity: l.Capacity,
		})
	}
	return out
}

func workerID(i int) string { return "w" + strconv.Itoa(1000+i) }

// arrival is a drawn job with what only the workers know of it.
type arrival struct {
	at     time.Duration
	kind   int
	record tanagerwork.Record
	// work and fails are drawn by step and task; fails is the number of runs
	// that fail first.
	work  [][]time.Duration
	fails [][]int
	good  [][]bool
	size  float64
	ideal time.Duration
}

// draw returns the jobs of the load in order of arrival.
func (l *Load) draw(start time.Time) []*arrival {
	r := rand.New(rand.NewPCG(l.Seed, 1))
	var out []*arrival
	const grain = 5 * time.Millisecond
	for at := time.Duration(0); at < l.Duration; at += grain {
		for k := range l.Kinds {
			rate := l.Kinds[k].PerSecond * l.factor(k, at)
			if r.Float64() < rate*grain.Seconds() {
				out = append(out, l.job(r, k, at, len(out), start))
			}
		}
	}
	return out
}

func (l *Load) factor(kind int, at time.Duration) float64 {
	f := 1.0
	for _, b := range l.Bursts {
		if b.Kind == kind && at >= b.From && at < b.From+b.For {
			f *= b.Factor
		}
	}
	return f
}

func (l *Load) job(r *rand.Rand, kind int, at time.Duration, number int, start time.Time) *arrival {
	k := &l.Kinds[kind]
	a := &arrival{
		at:   at,
		kind: kind,
	}
	gang := r.Float64() < k.GangShare
	steps := 1 + int(r.Float64()+k.Steps-1)
	spec := tanagerwork.Spec{Payload: "replay"}
	for i := range steps {
		spec.Steps = append(spec.Steps, l.step(r, k, a, i, gang))
	}
	id := "0000000000000000" + strconv.FormatInt(int64(number), 16)
	a.record = tanagerwork.Record{
		ID:      tanagerwork.JobID(id[len(id)-16:]),
		Queue:   k.Queue.Name,
		Service: service,
		Epoch:   1,
		Arrived: start.Add(at),
		Spec:    spec,
	}
	return a
}

func (l *Load) step(r *rand.Rand, k *Kind, a *arrival, index int, gang bool) tanagerwork.Step {
	width := min(max(int(logNormal(r, k.Width, k.WidthSpread)+0.5), 1), k.WidthMost)
	duration := time.Duration(logNormal(r, float64(k.Work), k.WorkSpread))
	s := tanagerwork.Step{
		Count: width,
		Need: tanagerwork.Resources{
			MilliCPU: int64(min(logNormal(r, k.MilliCPU, k.NeedSpread), 0.47*float64(l.Capacity.MilliCPU))),
			MemoryMB: int64(min(logNormal(r, k.MemoryMB, k.NeedSpread), 0.38*float64(l.Capacity.MemoryMB))),
		},
		Estimate: time.Duration(float64(duration) * math.Exp(k.EstimateSpread*r.NormFloat64())),
		Gang:     gang,
	}
	if index > 0 {
		s.After = []int{index - 1}
	}
	good := make([]bool, l.Workers)
	room := 0
	for i := range good {
		good[i] = k.Queue.Advice == nil || r.Float64() < k.GoodShare
		if good[i] {
			room += s.Need.Copies(l.Capacity, width)
		}
	}
	// A gang that its workers cannot hold with some to spare is not handed in.
	if gang {
		width = max(min(width, room*2/3), 1)
		s.Count = width
	}
	works := make([]time.Duration, width)
	fails := make([]int, width)
	for i := range width {
		works[i] = duration
		for r.Float64() < k.FailShare && fails[i] < k.Queue.MaxAttempts-1 {
			fails[i]++
		}
	}
	a.work = append(a.work, works)
	a.fails = append(a.fails, fails)
	a.good = append(a.good, good)
	a.size += float64(width) * duration.Seconds() * float64(s.Need.MilliCPU) / 1000
	a.ideal += duration
	if p := k.Queue.Advice; p != nil {
		a.ideal += p.Decision + 30*p.Each
	}
	return s
}

// logNormal draws a value with a mean and a spread of its logarithm.
func logNormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}
