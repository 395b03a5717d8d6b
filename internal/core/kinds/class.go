package kinds

import "fmt"

// Class is the priority class of a request, given by how soon the caller needs the answer.
type Class string

// The priority classes, highest priority first.
const (
	Urgent      Class = "urgent"
	Interactive Class = "interactive"
	Patient     Class = "patient"
)

// ParseClass returns the class of a name; an empty name stands for Interactive, an unknown one is an error.
func ParseClass(s string) (Class, error) {
	switch c := Class(s); c {
	case "":
		return Interactive, nil
	case Urgent, Interactive, Patient:
		return c, nil
	}
	return "", fmt.Errorf("class %q is none of urgent, interactive, patient", s)
}

// AtMost returns the class, or the highest class that is allowed if that has a lower priority.
func (c Class) AtMost(highest Class) Class {
	if highest.Rank() > c.Rank() {
		return highest
	}
	return c
}

// Rank returns the sort order of the class: 0 for the highest priority, larger for lower ones.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 0
	case Patient:
		return 2
	}
	return 1
}
