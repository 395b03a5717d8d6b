// Package shop stands in for a plain service that takes orders and bookings, with fault switches and an exact count of runs.
package shop
