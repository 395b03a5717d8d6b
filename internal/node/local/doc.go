// Package local runs a complete deployment of stand-ins, agents and entries in one process on loopback.
package local
