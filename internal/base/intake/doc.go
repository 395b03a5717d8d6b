// Package intake reads the bodies of callers' requests within a budget of memory and a least rate.
package intake
