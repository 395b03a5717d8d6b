// Package evict chooses the idle models and adapters to unload to free memory for a load.
package evict
