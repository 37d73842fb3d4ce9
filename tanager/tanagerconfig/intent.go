package tanagerconfig

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
)

// maxNameLength bounds the names of branches and exceptions.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// ValidName reports whether name is valid for a branch or an exception: lower
// case letters, digits, hyphens and underscores, at most 63 characters, beginning
// with a letter or a digit.
func ValidName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

func invalidField(field, message string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.InvalidField, field+" "+message)
}

func exceedsLimit(field string, value, limit any) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.LimitExceeded,
		fmt.Sprintf("%s %v is above the centre's limit of %v", field, value, limit))
}

func (s State) setBranch(i Intent) *tanagerfailure.Failure {
	if !ValidName(i.Branch) {
		return invalidField("branch", "must be lower case letters, digits, hyphens or underscores, at most 63")
	}
	if i.Rules == nil {
		return invalidField("rules", "is missing")
	}
	if failure := s.validateRules(*i.Rules); failure != nil {
		return failure
	}
	b := s.Branches[i.Branch]
	b.Rules = *i.Rules
	s.Branches[i.Branch] = b
	return nil
}

func (s State) validateRules(r Rules) *tanagerfailure.Failure {
	switch {
	case !(r.Weight > 0):
		return invalidField("weight", "must be above 0")
	case r.Weight > s.Limits.MaxWeight:
		return exceedsLimit("weight", r.Weight, s.Limits.MaxWeight)
	case !(r.UrgentShare >= 0 && r.UrgentShare <= 1):
		return invalidField("urgent_share", "must be from 0 to 1")
	case r.UrgentShare > s.Limits.MaxUrgentShare:
		return exceedsLimit("urgent_share", r.UrgentShare, s.Limits.MaxUrgentShare)
	case r.Quota.CPU < 0 || r.Quota.Memory < 0 || r.Quota.Accelerators < 0:
		return invalidField("quota", "must not be negative")
	}
	return nil
}

func (s State) removeBranch(i Intent) *tanagerfailure.Failure {
	if _, ok := s.Branches[i.Branch]; !ok {
		return unknownBranch(i.Branch)
	}
	delete(s.Branches, i.Branch)
	return nil
}

func unknownBranch(name string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.UnknownBranch, fmt.Sprintf("branch %q does not exist", name))
}

func (s State) grantException(i Intent, now time.Time) *tanagerfailure.Failure {
	b, ok := s.Branches[i.Branch]
	if !ok {
		return unknownBranch(i.Branch)
	}
	if i.Exception == nil {
		return invalidField("exception", "is missing")
	}
	e := *i.Exception
	if e.From.IsZero() {
		e.From = now
	}
	if failure := s.validateException(b, e, now); failure != nil {
		return failure
	}
	remaining := slices.DeleteFunc(slices.Clone(b.Exceptions), func(old Exception) bool {
		return old.Name == e.Name || !now.Before(old.Until)
	})
	b.Exceptions = append(remaining, e)
	s.Branches[i.Branch] = b
	return nil
}

func (s State) validateException(b Branch, e Exception, now time.Time) *tanagerfailure.Failure {
	switch {
	case !ValidName(e.Name):
		return invalidField("exception.name", "must be lower case letters, digits, hyphens or underscores, at most 63")
	case !(e.WeightFactor > 0):
		return invalidField("exception.weight_factor", "must be above 0")
	case e.WeightFactor > s.Limits.MaxWeightFactor:
		return exceedsLimit("exception.weight_factor", e.WeightFactor, s.Limits.MaxWeightFactor)
	case e.WeightFactor*b.Rules.Weight > s.Limits.MaxWeight:
		return exceedsLimit("weight under the exception", e.WeightFactor*b.Rules.Weight, s.Limits.MaxWeight)
	case !(e.UrgentShare >= 0 && e.UrgentShare <= 1):
		return invalidField("exception.urgent_share", "must be from 0 to 1")
	case e.UrgentShare > s.Limits.MaxUrgentShare:
		return exceedsLimit("exception.urgent_share", e.UrgentShare, s.Limits.MaxUrgentShare)
	case !e.Until.After(e.From) || !e.Until.After(now):
		return invalidField("exception.until", "must be after exception.from and in the future")
	case e.Until.Sub(e.From) > s.Limits.MaxExceptionTime:
		return exceedsLimit("the exception's length", e.Until.Sub(e.From).Round(time.Second), s.Limits.MaxExceptionTime)
	}
	return nil
}

func (s State) revokeException(i Intent) *tanagerfailure.Failure {
	b, ok := s.Branches[i.Branch]
	if !ok {
		return unknownBranch(i.Branch)
	}
	remaining := slices.DeleteFunc(slices.Clone(b.Exceptions), func(e Exception) bool { return e.Name == i.Name })
	if len(remaining) == len(b.Exceptions) {
		return invalidField("name", fmt.Sprintf("%q is not an exception of the branch", i.Name))
	}
	b.Exceptions = remaining
	s.Branches[i.Branch] = b
	return nil
}

func (s *State) setLimits(i Intent) *tanagerfailure.Failure {
	if i.Limits == nil {
		return invalidField("limits", "is missing")
	}
	l := *i.Limits
	switch {
	case !(l.MaxWeight > 0):
		return invalidField("limits.max_weight", "must be above 0")
	case !(l.MaxWeightFactor >= 1):
		return invalidField("limits.max_weight_factor", "must be at least 1")
	case !(l.MaxUrgentShare >= 0 && l.MaxUrgentShare <= 1):
		return invalidField("limits.max_urgent_share", "must be from 0 to 1")
	case l.MaxExceptionTime <= 0:
		return invalidField("limits.max_exception_time", "must be above 0")
	}
	s.Limits = l
	return nil
}

// maxGoneDaemons bounds the list of gone daemons; the oldest are dropped.
const maxGoneDaemons = 256

func (s *State) declareGone(i Intent) *tanagerfailure.Failure {
	if !ValidName(i.Name) {
		return invalidField("name", "must be the id of a daemon, as tanagerctl status shows it")
	}
	gone := append(slices.Clone(s.Gone), i.Name)
	s.Gone = gone[max(0, len(gone)-maxGoneDaemons):]
	return nil
}
