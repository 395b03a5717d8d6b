// Package platf stands in for the platform: the key-value service and the instance list, with fault switches.
package platf
