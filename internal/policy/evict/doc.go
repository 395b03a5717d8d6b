// Package evict decides which idle items make room for a load.
package evict
