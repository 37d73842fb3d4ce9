package tanagerqueue

import "tanagersail.example/tanager/tanagerfailure"

// Class is the service class of a request or task.
type Class uint8

// The classes, from the first to the last served within a branch.
const (
	Urgent Class = iota
	Normal
	Batch
	classCount
)

var classNames = [classCount]string{"urgent", "normal", "batch"}

// String returns the name of the class, or "invalid".
func (c Class) String() string {
	if c < classCount {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name; an empty name is Normal.
// Any other text gives a failure with the code invalid_field.
func ParseClass(name string) (Class, *tanagerfailure.Failure) {
	if name == "" {
		return Normal, nil
	}
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return Normal, tanagerfailure.New(tanagerfailure.InvalidField, "class must be urgent, normal or batch")
}
