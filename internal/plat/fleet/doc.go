// Package fleet reads the platform's lagging list of instances.
package fleet
