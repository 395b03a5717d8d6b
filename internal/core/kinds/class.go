package kinds

import "fmt"

// Class orders requests by how soon their caller needs the answer.
type Class string

// The classes, most pressing first.
const (
	Urgent      Class = "urgent"
	Interactive Class = "interactive"
	Patient     Class = "patient"
)

// ParseClass reads a class name; the empty name is Interactive.
func ParseClass(s string) (Class, error) {
	switch c := Class(s); c {
	case "":
		return Interactive, nil
	case Urgent, Interactive, Patient:
		return c, nil
	}
	return "", fmt.Errorf("class %q is none of urgent, interactive, patient", s)
}

// Rank returns 0 for the most pressing class and larger numbers for the others.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 0
	case Patient:
		return 2
	}
	return 1
}
