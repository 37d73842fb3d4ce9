package tanagerfailure

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome is the final result of a request or a task.
type Outcome string

// The four outcomes. The empty Outcome means that the request or task has not
// ended.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Code identifies a kind of failure. Codes are stable across versions.
type Code string

// The codes of the public interfaces.
const (
	MalformedBody       Code = "malformed_body"
	InvalidField        Code = "invalid_field"
	BodyTooLarge        Code = "body_too_large"
	Unauthenticated     Code = "unauthenticated"
	Forbidden           Code = "forbidden"
	UnknownBranch       Code = "unknown_branch"
	UnknownService      Code = "unknown_service"
	UnknownJob          Code = "unknown_job"
	DeadlinePassed      Code = "deadline_passed"
	DeadlineUnreachable Code = "deadline_unreachable"
	QueueFull           Code = "queue_full"
	NoOwner             Code = "no_owner"
	NoTarget            Code = "no_target"
	StoreUnavailable    Code = "store_unavailable"
	OutcomeUnknown      Code = "outcome_unknown"
	RequestIDLost       Code = "request_id_lost"
	RequestIDExpired    Code = "request_id_expired"
	RequestIDReused     Code = "request_id_reused"
	TargetFailed        Code = "target_failed"
	JobImpossible       Code = "job_impossible"
	LimitExceeded       Code = "limit_exceeded"
	StalePlan           Code = "stale_plan"
	Cancelled           Code = "cancelled"
)

// codeProperties are the parts of a failure that depend on its code only.
type codeProperties struct {
	status  int
	outcome Outcome
	hint    string
}

var propertiesByCode = map[Code]codeProperties{
	MalformedBody: {
		status:  http.StatusBadRequest,
		outcome: NotRun,
		hint:    "send a body that matches the documented shape",
	},
	InvalidField: {
		status:  http.StatusBadRequest,
		outcome: NotRun,
		hint:    "correct the named field",
	},
	BodyTooLarge: {
		status:  http.StatusRequestEntityTooLarge,
		outcome: NotRun,
		hint:    "send a smaller body",
	},
	Unauthenticated: {
		status:  http.StatusUnauthorized,
		outcome: NotRun,
		hint:    "send a known token as Authorization: Bearer",
	},
	Forbidden: {
		status:  http.StatusForbidden,
		outcome: NotRun,
		hint:    "use a token that is allowed to do this",
	},
	UnknownBranch: {
		status:  http.StatusNotFound,
		outcome: NotRun,
		hint:    "create the branch with an intent first",
	},
	UnknownService: {
		status:  http.StatusNotFound,
		outcome: NotRun,
		hint:    "check the service name against the platform's list",
	},
	UnknownJob: {
		status:  http.StatusNotFound,
		outcome: NotRun,
		hint:    "check the job id",
	},
	DeadlinePassed: {
		status:  http.StatusServiceUnavailable,
		outcome: NotRun,
		hint:    "send again with a longer timeout",
	},
	DeadlineUnreachable: {
		status:  http.StatusTooManyRequests,
		outcome: NotRun,
		hint:    "come back after the stated time",
	},
	QueueFull: {
		status:  http.StatusTooManyRequests,
		outcome: NotRun,
		hint:    "come back after the stated time",
	},
	NoOwner: {
		status:  http.StatusServiceUnavailable,
		outcome: NotRun,
		hint:    "come back after the stated time",
	},
	NoTarget: {
		status:  http.StatusServiceUnavailable,
		outcome: NotRun,
		hint:    "come back after the stated time",
	},
	StoreUnavailable: {
		status:  http.StatusServiceUnavailable,
		outcome: NotRun,
		hint:    "come back after the stated time",
	},
	OutcomeUnknown: {
		status:  http.StatusGatewayTimeout,
		outcome: Unknown,
		hint:    "the work may have run: check before you send it as new work",
	},
	RequestIDLost: {
		status:  http.StatusConflict,
		outcome: Unknown,
		hint:    "the daemon that issued the id is gone: check whether the work ran",
	},
	RequestIDExpired: {
		status:  http.StatusConflict,
		outcome: Unknown,
		hint:    "the id is too old to be known: check whether the work ran",
	},
	RequestIDReused: {
		status:  http.StatusConflict,
		outcome: NotRun,
		hint:    "use a request id for one body only",
	},
	TargetFailed: {
		status:  http.StatusBadGateway,
		outcome: Failed,
		hint:    "the target answered with an error",
	},
	JobImpossible: {
		status:  http.StatusUnprocessableEntity,
		outcome: NotRun,
		hint:    "ask for less than the largest worker holds",
	},
	LimitExceeded: {
		status:  http.StatusUnprocessableEntity,
		outcome: NotRun,
		hint:    "stay inside the limits that the centre set",
	},
	StalePlan: {
		status:  http.StatusConflict,
		outcome: NotRun,
		hint:    "make a new plan against the current revision",
	},
	Cancelled: {
		status:  http.StatusConflict,
		outcome: NotRun,
		hint:    "the work was cancelled before it started",
	},
}

// Failure is the error response to a request with an outcome other than Done. The
// zero value is not valid; New returns a Failure.
type Failure struct {
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	Hint    string  `json:"hint"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is the time after which to retry; zero means that a retry does
	// not help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// New returns a failure with the given code and message. It panics if the code is
// not defined in this package.
func New(code Code, message string) *Failure {
	p, ok := propertiesByCode[code]
	if !ok {
		panic("tanagerfailure: unregistered code " + string(code))
	}
	return &Failure{
		Code:    code,
		Message: message,
		Hint:    p.hint,
		Outcome: p.outcome,
	}
}

// WithRetryAfter returns a copy of f with RetryAfter set to d.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	withRetry := *f
	withRetry.RetryAfter = d
	return &withRetry
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// Status returns the HTTP status of the failure's code, or 500 if the code is
// unknown.
func (f *Failure) Status() int {
	if p, ok := propertiesByCode[f.Code]; ok {
		return p.status
	}
	return http.StatusInternalServerError
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up, in the
// form of the HTTP Retry-After header.
func (f *Failure) RetryAfterSeconds() string {
	return strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds())))
}
