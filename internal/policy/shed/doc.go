// Package shed decides which unfinished bodies give way when memory is short, and which arrive too slowly.
package shed
