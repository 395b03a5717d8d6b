// Package permit grants permits for loads from the weight store of a region, within its rate and concurrency limits.
package permit
