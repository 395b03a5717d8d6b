// Package svcsim is a stand-in for a plain HTTP service that takes orders and
// bookings. It has fault switches and counts how often each call ran.
package svcsim
