// Package tanagerburn measures how fast each branch and class uses up its
// service-level objective, and reports it.
//
// A piece of work is good if it started within the class's longest wait and its
// outcome is known; anything else is bad. The burn rate over a window is the
// part that was bad divided by the part that the objective allows: at 1 the
// error budget lasts exactly as long as the objective's period. An alert needs a
// high rate over a long and a short window together, as in "The Site Reliability
// Workbook" (Beyer et al., 2018), chapter 5.
//
// A Ledger counts by the minute for one day and keeps a histogram of waits. The
// ledgers of several daemons are added up by Merge.
//
// # Usage
//
//	ledger := tanagerburn.NewLedger(tanagerburn.DefaultObjectives())
//	ledger.Observe(tanagerburn.Key{Branch: "rosenheim", Class: "urgent"}, wait, true, time.Now())
//	report := tanagerburn.NewReport(tanagerburn.Merge(ledger.Export()), time.Now())
//	err := report.WriteText(os.Stdout)
package tanagerburn
