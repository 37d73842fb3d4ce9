// Package tanagerburn measures and reports the burn rate of the error budget of
// each branch and class.
//
// A request or task is good if it started within the maximum wait of its class
// and its outcome is known; anything else is bad. The burn rate over a window is
// the fraction that was bad divided by the fraction that the objective allows: at
// a rate of 1 the error budget lasts exactly as long as the objective's period.
// An alert fires when the rate is high over both a long and a short window, as in
// "The Site Reliability Workbook" (Beyer et al., 2018), chapter 5.
//
// A Recorder retains counts by the minute for one day and a histogram of wait
// times. Merge sums the exports of the recorders of several daemons.
//
// # Usage
//
//	recorder := tanagerburn.NewRecorder(tanagerburn.DefaultObjectives())
//	recorder.Observe(tanagerburn.Key{Branch: "rosenheim", Class: "urgent"}, wait, true, time.Now())
//	export, err := recorder.Export()
//	merged, err := tanagerburn.Merge(export)
//	err = tanagerburn.NewReport(merged, time.Now()).WriteText(os.Stdout)
package tanagerburn
