package main

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"tanagersail.example/tanager/tanagerreplay"
)

const (
	// replaySeeds is how many seeds a row is the mean of.
	replaySeeds = 6
	// floodFactor, floodFrom and floodLength describe each flood.
	floodFactor = 2
	floodFrom   = 4 * time.Second
	floodLength = 6 * time.Second
)

// replayRow is the mean of plays of one load against one scheduler.
type replayRow struct {
	worth, wasted float64
	// wait is the median wait of the urgent kind, in seconds.
	wait float64
}

// benchReplay floods each kind of a cell's load in turn, at the sizes of today's
// two sites, and prints the cell's figures as ratios to the baseline.
func benchReplay(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "replay: floods of each kind, x%d for %v; mean of %d seeds from %d; cell / first come, first fit\n",
		floodFactor, floodLength, replaySeeds, seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tflood of\tworth\tof baseline\twasted core-s\tof baseline\turgent wait p50\tof baseline\t")
	for _, load := range []struct {
		name string
		load tanagerreplay.Load
	}{
		{
			name: "ladder",
			load: tanagerreplay.LadderLoad(),
		},
		{
			name: "dispatching",
			load: tanagerreplay.DispatchingLoad(),
		},
	} {
		for kind := range load.load.Kinds {
			l := load.load
			l.Bursts = []tanagerreplay.Burst{{
				Kind:     kind,
				Start:    floodFrom,
				Duration: floodLength,
				Factor:   floodFactor,
			}}
			smart := replayMean(l, seed, func(l tanagerreplay.Load) tanagerreplay.Scheduler { return tanagerreplay.NewCellScheduler(l) })
			plain := replayMean(l, seed, func(l tanagerreplay.Load) tanagerreplay.Scheduler { return tanagerreplay.NewBaseline(l) })
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.2f\t%.0f\t%.2f\t%.3f s\t%.3f\t\n", load.name, l.Kinds[kind].Queue.Name,
				smart.worth, smart.worth/plain.worth, smart.wasted, smart.wasted/plain.wasted, smart.wait, smart.wait/plain.wait)
		}
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(w, err)
	}
}

func replayMean(l tanagerreplay.Load, seed uint64, scheduler func(tanagerreplay.Load) tanagerreplay.Scheduler) replayRow {
	var mean replayRow
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range uint64(replaySeeds) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			one := l
			one.Seed = seed + i
			r := tanagerreplay.Simulate(one, scheduler(one))
			mu.Lock()
			defer mu.Unlock()
			mean.worth += r.ValueRatio() / replaySeeds
			mean.wasted += r.WastedCoreSeconds / replaySeeds
			mean.wait += r.Kinds[len(r.Kinds)-1].WaitQuantile(0.5).Seconds() / replaySeeds
		}()
	}
	wait.Wait()
	return mean
}
