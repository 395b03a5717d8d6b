// Package kinds defines the resources that operators declare and validates them.
package kinds
