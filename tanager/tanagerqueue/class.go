package tanagerqueue

import "tanagersail.example/tanager/tanagerfailure"

// Class is the urgency of a piece of work.
type Class uint8

// The classes in the order in which a branch's own work is served.
const (
	Urgent Class = iota
	Normal
	Batch
	classes
)

var classNames = [classes]string{"urgent", "normal", "batch"}

// String returns the name of the class.
func (c Class) String() string {
	if c < classes {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class of a name; an empty name is Normal. It returns a
// failure with the code invalid_field for any other text.
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
