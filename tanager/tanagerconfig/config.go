package tanagerconfig

import (
	"maps"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerresource"
)

// Limits are the central bounds on the rules of branches and on exceptions.
type Limits struct {
	// MaxWeight is the largest weight of a branch, with exceptions applied.
	MaxWeight float64 `json:"max_weight" yaml:"max_weight"`
	// MaxWeightFactor is the largest factor of an exception.
	MaxWeightFactor float64 `json:"max_weight_factor" yaml:"max_weight_factor"`
	// MaxUrgentShare is the largest urgent share of a branch, from 0 to 1.
	MaxUrgentShare float64 `json:"max_urgent_share" yaml:"max_urgent_share"`
	// MaxExceptionTime is the longest duration of an exception.
	MaxExceptionTime time.Duration `json:"max_exception_time" yaml:"max_exception_time"`
}

// Rules are the scheduling parameters of one branch. Shares are proportional to
// Weight. UrgentShare is the fraction of the slots and of the fleet, from 0 to 1,
// that the branch's urgent work may use ahead of other branches. Quota bounds the
// resources allocated to the branch; a zero component is unlimited.
type Rules struct {
	Weight      float64                `json:"weight" yaml:"weight"`
	UrgentShare float64                `json:"urgent_share" yaml:"urgent_share"`
	Quota       tanagerresource.Vector `json:"quota,omitzero" yaml:"quota"`
}

// Exception overrides the rules of a branch between two times.
type Exception struct {
	Name string `json:"name" yaml:"name"`
	// WeightFactor multiplies the weight.
	WeightFactor float64 `json:"weight_factor" yaml:"weight_factor"`
	// UrgentShare replaces the urgent share if it is larger.
	UrgentShare float64   `json:"urgent_share,omitempty" yaml:"urgent_share"`
	From        time.Time `json:"from" yaml:"from"`
	Until       time.Time `json:"until" yaml:"until"`
}

// activeAt reports whether the exception applies at a time. Until is exclusive.
func (e Exception) activeAt(now time.Time) bool {
	return !now.Before(e.From) && now.Before(e.Until)
}

// Branch holds the rules of a branch and its exceptions.
type Branch struct {
	Rules      Rules       `json:"rules"`
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// State is the complete configuration at one revision.
type State struct {
	Revision uint64            `json:"revision"`
	Limits   Limits            `json:"limits"`
	Branches map[string]Branch `json:"branches"`
	// Gone holds the ids of daemons that operators have declared permanently
	// gone, oldest first.
	Gone []string `json:"gone,omitempty"`
}

// DefaultLimits apply until limits are set by an intent.
var DefaultLimits = Limits{
	MaxWeight:        100,
	MaxWeightFactor:  4,
	MaxUrgentShare:   0.5,
	MaxExceptionTime: 31 * 24 * time.Hour,
}

// New returns the configuration of revision zero, without branches.
func New() State {
	return State{
		Limits:   DefaultLimits,
		Branches: make(map[string]Branch),
	}
}

// Effective returns the rules of a branch with the exceptions that apply at a
// time, and whether the branch exists.
func (s State) Effective(branch string, now time.Time) (Rules, bool) {
	b, ok := s.Branches[branch]
	if !ok {
		return Rules{}, false
	}
	rules := b.Rules
	for _, e := range b.Exceptions {
		if e.activeAt(now) {
			rules.Weight = min(rules.Weight*e.WeightFactor, s.Limits.MaxWeight)
			rules.UrgentShare = max(rules.UrgentShare, e.UrgentShare)
		}
	}
	return rules, true
}

// BranchNames returns the names of all branches in ascending order.
func (s State) BranchNames() []string { return slices.Sorted(maps.Keys(s.Branches)) }

func (s State) clone() State {
	s.Branches = maps.Clone(s.Branches)
	return s
}

// IntentKind is the kind of change that an intent makes.
type IntentKind string

// The kinds of intent.
const (
	SetBranch       IntentKind = "set_branch"
	RemoveBranch    IntentKind = "remove_branch"
	GrantException  IntentKind = "grant_exception"
	RevokeException IntentKind = "revoke_exception"
	SetLimits       IntentKind = "set_limits"
	DeclareGone     IntentKind = "declare_gone"
)

// Intent is a change requested by an operator.
type Intent struct {
	Kind IntentKind `json:"kind" yaml:"kind"`
	// Branch is set for all kinds but set_limits and declare_gone.
	Branch string `json:"branch,omitempty" yaml:"branch"`
	// Rules is set for set_branch.
	Rules *Rules `json:"rules,omitempty" yaml:"rules"`
	// Exception is set for grant_exception.
	Exception *Exception `json:"exception,omitempty" yaml:"exception"`
	// Name is the exception's name for revoke_exception and the daemon's id for
	// declare_gone.
	Name string `json:"name,omitempty" yaml:"name"`
	// Limits is set for set_limits.
	Limits *Limits `json:"limits,omitempty" yaml:"limits"`
}

// Apply returns the configuration with an intent applied and the revision
// incremented. On failure it returns s unchanged.
func (s State) Apply(i Intent, now time.Time) (State, *tanagerfailure.Failure) {
	next := s.clone()
	var failure *tanagerfailure.Failure
	switch i.Kind {
	case SetBranch:
		failure = next.setBranch(i)
	case RemoveBranch:
		failure = next.removeBranch(i)
	case GrantException:
		failure = next.grantException(i, now)
	case RevokeException:
		failure = next.revokeException(i)
	case SetLimits:
		failure = next.setLimits(i)
	case DeclareGone:
		failure = next.declareGone(i)
	default:
		failure = invalidField("kind",
			"is not one of set_branch, remove_branch, grant_exception, revoke_exception, set_limits, declare_gone")
	}
	if failure != nil {
		return s, failure
	}
	next.Revision++
	return next, nil
}
