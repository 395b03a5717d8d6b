// Package local runs a whole deployment in one process on loopback: stand-ins, agents and entries.
package local
