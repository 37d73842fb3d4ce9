package tanagerboot

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanageringress"
	"tanagersail.example/tanager/tanagertimer"
)

// clientReportInterval is the interval at which clients that were turned away are
// logged. A crowd thus causes one line a second.
const clientReportInterval = time.Second

// ReportClients logs how many clients a gate has turned away, until the end of ctx.
func ReportClients(ctx context.Context, g *tanageringress.Gate, timer tanagertimer.Service, log zerolog.Logger) {
	ticks := timer.Every(clientReportInterval)
	defer ticks.Stop()
	var last tanageringress.Usage
	for {
		select {
		case <-ticks.C:
			current := g.Usage()
			logTurnedAway(log, last, current)
			last = current
		case <-ctx.Done():
			return
		}
	}
}

// logTurnedAway logs the difference of two snapshots if clients were turned away in
// between.
func logTurnedAway(log zerolog.Logger, last, current tanageringress.Usage) {
	counts := make(map[string]any)
	total := uint64(0)
	before := last.TurnedAway()
	for reason, count := range current.TurnedAway() {
		total += count - before[reason]
		counts[reason] = count - before[reason]
	}
	if total == 0 {
		return
	}
	log.Warn().Str("event", "clients_turned_away").Fields(counts).
		Int("connections", current.Connections).Int64("budget_used_bytes", current.Bytes).Send()
}
