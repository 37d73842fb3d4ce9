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
	// replaySeedCount is the number of seeds that each row averages over.
	replaySeedCount = 6
	// During a flood jobs of one kind arrive at replayFloodFactor times the rate.
	replayFloodFactor   = 2
	replayFloodStart    = 4 * time.Second
	replayFloodDuration = 6 * time.Second
)

// replayMeans holds the mean results of one scheduler under one load, over all
// seeds.
type replayMeans struct {
	valueRatio, wastedCoreSeconds float64
	// urgentWait is the median wait of the urgent kind, in seconds.
	urgentWait float64
}

// benchReplay floods each kind of job of a load in turn, at the sizes of the two
// sites, and prints the results of the cell's scheduler and their ratios to those
// of the baseline.
func benchReplay(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "replay: floods of each kind, x%d for %v; mean of %d seeds from %d; cell / first come, first fit\n",
		replayFloodFactor, replayFloodDuration, replaySeedCount, seed)
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
				Start:    replayFloodStart,
				Duration: replayFloodDuration,
				Factor:   replayFloodFactor,
			}}
			cell := meanOverSeeds(l, seed, func(l tanagerreplay.Load) tanagerreplay.Scheduler {
				return tanagerreplay.NewCellScheduler(l)
			})
			baseline := meanOverSeeds(l, seed, func(l tanagerreplay.Load) tanagerreplay.Scheduler {
				return tanagerreplay.NewBaseline(l)
			})
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.2f\t%.0f\t%.2f\t%.3f s\t%.3f\t\n", load.name, l.Kinds[kind].Queue.Name,
				cell.valueRatio, cell.valueRatio/baseline.valueRatio,
				cell.wastedCoreSeconds, cell.wastedCoreSeconds/baseline.wastedCoreSeconds,
				cell.urgentWait, cell.urgentWait/baseline.urgentWait)
		}
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(w, err)
	}
}

// meanOverSeeds replays a load with replaySeedCount successive seeds in parallel.
func meanOverSeeds(
	l tanagerreplay.Load, seed uint64, newScheduler func(tanagerreplay.Load) tanagerreplay.Scheduler,
) replayMeans {
	var mean replayMeans
	var mu sync.Mutex
	var pending sync.WaitGroup
	for i := range uint64(replaySeedCount) {
		pending.Add(1)
		go func() {
			defer pending.Done()
			seeded := l
			seeded.Seed = seed + i
			report := tanagerreplay.Simulate(seeded, newScheduler(seeded))
			mu.Lock()
			defer mu.Unlock()
			mean.valueRatio += report.ValueRatio() / replaySeedCount
			mean.wastedCoreSeconds += report.WastedCoreSeconds / replaySeedCount
			mean.urgentWait += report.Kinds[len(report.Kinds)-1].WaitQuantile(0.5).Seconds() / replaySeedCount
		}()
	}
	pending.Wait()
	return mean
}
