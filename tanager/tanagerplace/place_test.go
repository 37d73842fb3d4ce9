package tanagerplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

var start = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

func drawVector(t *rapid.T, most int) tanagerresource.Vector {
	return tanagerresource.Vector{
		CPU:          int64(rapid.IntRange(0, 16*most).Draw(t, "cpu")) * 250,
		Memory:       int64(rapid.IntRange(1, 16*most).Draw(t, "memory")) * 500,
		Accelerators: int64(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "accelerators")),
	}
}

// model is the reference: a full scan over all workers.
type model struct {
	workers map[string]Worker
	open    map[string]bool
	held    map[string]map[string]tanagerresource.Vector
}

func (m *model) free(worker string) tanagerresource.Vector {
	free := m.workers[worker].Capacity
	for _, v := range m.held[worker] {
		free = free.Minus(v)
	}
	return free
}

func (m *model) fits(worker string, v tanagerresource.Vector) bool {
	return m.open[worker] && v.Fits(m.free(worker))
}

func (m *model) anyFits(v tanagerresource.Vector) bool {
	for name := range m.workers {
		if m.fits(name, v) {
			return true
		}
	}
	return false
}

// TestChooseAgainstFullScan changes a fleet at random and checks that Choose
// finds a worker exactly when a full scan does, that the worker fits, and that
// no worker is ever given more than it holds.
func TestChooseAgainstFullScan(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		f := New(Settings{})
		m := &model{
			workers: make(map[string]Worker),
			open:    make(map[string]bool),
			held:    make(map[string]map[string]tanagerresource.Vector),
		}
		var tasks []string
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"add worker": func(t *rapid.T) {
				w := Worker{
					Name:          fmt.Sprintf("w%d", len(m.workers)),
					FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
					Rack:          rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"),
					Capacity:      drawVector(t, 8),
				}
				m.workers[w.Name] = w
				m.held[w.Name] = make(map[string]tanagerresource.Vector)
				m.open[w.Name] = true
				f.SetWorker(w)
				f.Open(w.Name, true)
			},
			"open or close": func(t *rapid.T) {
				name := fmt.Sprintf("w%d", rapid.IntRange(0, len(m.workers)).Draw(t, "worker"))
				if _, ok := m.workers[name]; !ok {
					return
				}
				m.open[name] = rapid.Bool().Draw(t, "open")
				f.Open(name, m.open[name])
			},
			"place": func(t *rapid.T) {
				d := Demand{
					Job:       rapid.SampledFrom([]string{"x", "y"}).Draw(t, "job"),
					Resources: drawVector(t, 2),
					Policy:    rapid.SampledFrom([]Policy{Dense, Spread}).Draw(t, "policy"),
				}
				name, ok := f.Choose(d, start)
				if ok != m.anyFits(d.Resources) {
					t.Fatalf("found %v, a full scan says %v for %v", ok, !ok, d.Resources)
				}
				if !ok {
					return
				}
				if !m.fits(name, d.Resources) {
					t.Fatalf("%v does not fit on %s with %v free", d.Resources, name, m.free(name))
				}
				id := fmt.Sprintf("t%d", next)
				next++
				f.Hold(name, Holding{
					Task:     id,
					Job:      d.Job,
					Declared: d.Resources,
				})
				m.held[name][id] = d.Resources
				tasks = append(tasks, name+" "+id)
			},
			"release": func(t *rapid.T) {
				if len(tasks) == 0 {
					return
				}
				var name, id string
				i := rapid.IntRange(0, len(tasks)-1).Draw(t, "task")
				_, _ = fmt.Sscan(tasks[i], &name, &id)
				tasks = append(tasks[:i:i], tasks[i+1:]...)
				f.Release(id)
				delete(m.held[name], id)
			},
			"": func(t *rapid.T) {
				var sum tanagerresource.Vector
				for name := range m.workers {
					sum = sum.Plus(m.workers[name].Capacity.Minus(m.free(name)))
				}
				if f.Held() != sum {
					t.Fatalf("the fleet holds %v, the reference %v", f.Held(), sum)
				}
			},
		})
	})
}

func newFleet(workers int, domains ...string) *Fleet {
	f := New(Settings{})
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		f.SetWorker(Worker{
			Name:          name,
			FailureDomain: domains[i%len(domains)],
			Rack:          fmt.Sprintf("%s-r%d", domains[i%len(domains)], i/len(domains)%2),
			Capacity: tanagerresource.Vector{
				CPU:    16000,
				Memory: 32000,
			},
		})
		f.Open(name, true)
	}
	return f
}

func place(c *qt.C, f *Fleet, task, job string, policy Policy, cpu int64) string {
	r := tanagerresource.Vector{
		CPU:    cpu,
		Memory: 1000,
	}
	name, ok := f.Choose(Demand{
		Job:       job,
		Resources: r,
		Policy:    policy,
	}, start)
	c.Assert(ok, qt.IsTrue)
	f.Hold(name, Holding{
		Task:     task,
		Job:      job,
		Class:    tanagerqueue.Batch,
		Declared: r,
		Started:  start,
	})
	return name
}

func TestSpreadUsesEveryFailureDomain(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, "a", "b", "c")
	domains := make(map[string]int)
	racks := make(map[string]int)
	for i := range 6 {
		w := f.workers[place(c, f, fmt.Sprint(i), "service", Spread, 1000)]
		domains[w.FailureDomain]++
		racks[w.Rack]++
	}
	c.Assert(domains, qt.DeepEquals, map[string]int{
		"a": 2,
		"b": 2,
		"c": 2,
	})
	c.Assert(racks, qt.HasLen, 6)
}

func TestDenseFillsOneWorkerFirst(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, "a", "b", "c")
	used := make(map[string]bool)
	for i := range 16 {
		used[place(c, f, fmt.Sprint(i), "batch", Dense, 1000)] = true
	}
	c.Assert(used, qt.HasLen, 1)
}

func TestObservedUseCountsWhenItIsLarger(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, "a")
	place(c, f, "liar", "job", Dense, 1000)
	growth := f.Observe("liar", tanagerresource.Vector{
		CPU:    12000,
		Memory: 500,
	})
	c.Assert(growth, qt.Equals, tanagerresource.Vector{
		CPU: 11000,
	})
	_, ok := f.Choose(Demand{
		Resources: tanagerresource.Vector{
			CPU: 5000,
		},
	}, start)
	c.Assert(ok, qt.IsFalse)
	f.Release("liar")
	c.Assert(f.Held().IsZero(), qt.IsTrue)
}

func TestRelieveThrottlesBeforeItStops(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, "a")
	place(c, f, "one", "job", Dense, 8000)
	place(c, f, "two", "job", Dense, 8000)
	c.Assert(f.Relieve("w0", start), qt.HasLen, 0)
	f.Observe("two", tanagerresource.Vector{
		CPU: 12000,
	})
	victims := f.Relieve("w0", start)
	c.Assert(victims, qt.HasLen, 1)
	c.Assert(victims[0].Relief, qt.Equals, ByThrottle)
	f.Observe("one", tanagerresource.Vector{
		Memory: 40000,
	})
	victims = f.Relieve("w0", start)
	c.Assert(victims[0].Relief, qt.Equals, ByStop)
}

// TestVictimsAreNeededAndEnough draws full workers and checks that the chosen
// victims make room, that none of them could be spared, and that there are
// victims whenever ending all batch tasks of some worker would make room.
func TestVictimsAreNeededAndEnough(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "workers"), "a")
		random := rand.New(rand.NewPCG(1, 2))
		for i := range rapid.IntRange(1, 20).Draw(t, "tasks") {
			r := tanagerresource.Vector{
				CPU:    int64(rapid.IntRange(1, 8).Draw(t, "cpu")) * 1000,
				Memory: int64(rapid.IntRange(1, 16).Draw(t, "memory")) * 1000,
			}
			name, ok := f.Choose(Demand{
				Resources: r,
			}, start)
			if !ok {
				continue
			}
			f.Hold(name, Holding{
				Task:           fmt.Sprint(i),
				Class:          rapid.SampledFrom([]tanagerqueue.Class{tanagerqueue.Urgent, tanagerqueue.Batch}).Draw(t, "class"),
				Declared:       r,
				Checkpointable: rapid.Bool().Draw(t, "checkpointable"),
				Started:        start.Add(-time.Duration(i) * time.Second),
			})
		}
		demand := tanagerresource.Vector{
			CPU:    int64(rapid.IntRange(1, 16).Draw(t, "cpu")) * 1000,
			Memory: int64(rapid.IntRange(1, 32).Draw(t, "memory")) * 1000,
		}
		if _, ok := f.Choose(Demand{
			Resources: demand,
		}, start); ok {
			return
		}
		worker, victims, ok := f.Victims(demand, start, random, func(*Holding) bool { return true })
		if ok != possibleByEndingBatch(f, demand) {
			t.Fatalf("victims %v, a full scan says %v", ok, !ok)
		}
		if !ok {
			return
		}
		free := f.workers[worker].free()
		for _, v := range victims {
			free = free.Plus(f.holdings[v.Task].Holds())
		}
		if !demand.Fits(free) {
			t.Fatalf("the victims %v leave only %v", victims, free)
		}
		for _, v := range victims {
			if demand.Fits(free.Minus(f.holdings[v.Task].Holds())) {
				t.Fatalf("%s is ended for nothing", v.Task)
			}
		}
	})
}

func possibleByEndingBatch(f *Fleet, demand tanagerresource.Vector) bool {
	for _, row := range f.workers {
		free := row.free()
		for _, h := range row.holdings {
			if h.Class == tanagerqueue.Batch {
				free = free.Plus(h.Holds())
			}
		}
		if demand.Fits(free) {
			return true
		}
	}
	return false
}

func TestWorkerThatFailsEverythingIsIsolated(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, "a")
	now := start
	// One job that fails everywhere isolates nobody.
	for range 10 {
		c.Assert(f.Ended("w0", "poison", true, now), qt.IsFalse)
	}
	c.Assert(f.Ended("w0", "other", true, now), qt.IsFalse)
	c.Assert(f.Ended("w0", "third", true, now), qt.IsTrue)
	c.Assert(f.Isolated("w0", now), qt.IsTrue)
	c.Assert(f.Isolated("w0", now.Add(30*time.Second)), qt.IsFalse)
	for _, job := range []string{"x", "y", "z"} {
		f.Ended("w0", job, true, now)
	}
	c.Assert(f.Isolated("w0", now.Add(59*time.Second)), qt.IsTrue)
	// A success in between clears the record.
	f.Ended("w1", "a", true, now)
	f.Ended("w1", "b", true, now)
	f.Ended("w1", "c", false, now)
	c.Assert(f.Ended("w1", "d", true, now), qt.IsFalse)
}

func TestLearnerExpectsTheLargerOfDeclaredAndSeen(t *testing.T) {
	c := qt.New(t)
	l := NewLearner(1)
	key := FamilyKey{
		Branch: "a",
		Family: "standings",
	}
	declared := tanagerresource.Vector{
		CPU:    1000,
		Memory: 4000,
	}
	c.Assert(l.Expect(key, declared), qt.Equals, declared)
	l.Observe(key, tanagerresource.Vector{
		CPU:    3000,
		Memory: 1000,
	})
	c.Assert(l.Expect(key, declared), qt.Equals, tanagerresource.Vector{
		CPU:    3000,
		Memory: 4000,
	})
	for range 200 {
		l.Observe(key, declared)
	}
	c.Assert(l.Expect(key, declared).CPU < 1100, qt.IsTrue)
}
