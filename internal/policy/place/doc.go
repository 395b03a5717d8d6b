// Package place chooses the endpoints for a model's slots.
package place
