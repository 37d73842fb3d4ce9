package tanagerport

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerport")

// The types of errors that calls return; the package comment describes them.
var (
	Refused        = Errors.NewType("refused", errorx.Temporary())
	NotSent        = Errors.NewType("not_sent", errorx.Temporary())
	NotReached     = Errors.NewType("not_reached", errorx.Temporary())
	OutcomeUnknown = Errors.NewType("unanswered", errorx.Timeout())
	Conflict       = Errors.NewType("conflict")
	NotFound       = Errors.NewType("not_found", errorx.NotFound())
	Compacted      = Errors.NewType("compacted")
	Malformed      = Errors.NewType("malformed")
)
