// Package ident finds out which incarnations of instances run while the store can't announce them.
package ident
