// Package seeds fixes the random seed of property tests, so that a run can be
// repeated with the same generated values.
package seeds
