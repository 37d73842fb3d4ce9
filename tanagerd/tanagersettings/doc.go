// Package tanagersettings reads the settings file of a daemon.
//
// The file is YAML with snake_case keys. Unknown keys are refused, and each
// value outside its range is reported with its line, its key and the range that
// is accepted. Durations are written with a unit, as in 250ms. A file that is
// accepted whole yields settings; there is no partial result.
//
// # Usage
//
//	settings, err := tanagersettings.Load("tanagerd.yaml")
package tanagersettings
