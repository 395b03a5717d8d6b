// Package sheet prints the tables of the measured policies.
package sheet
