// Package origin decides at which version of the software of a service's instances a stream began, as a
// stream may only go on at that version.
package origin
