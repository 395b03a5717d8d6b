// Package kinds defines the resources that operators declare and the rules a valid one keeps.
package kinds
