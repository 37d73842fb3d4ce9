// Package tanagersettings reads and validates the settings file of a daemon.
//
// The file is YAML with snake_case keys. Unknown keys are errors. Each value
// outside its range is reported with its line, its key and the valid range.
// Durations have a unit, as in 250ms. A file with any error yields no settings.
//
// # Usage
//
//	settings, err := tanagersettings.Load("tanagerd.yaml")
package tanagersettings
