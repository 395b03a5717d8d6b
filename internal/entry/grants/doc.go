// Package grants serves the permits that agents of a region must hold while they
// load weights from the weight store; one entry grants them.
package grants
