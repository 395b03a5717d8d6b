// Package plan defines decisions: the slots in which replicas may be loaded and the owners of claim partitions.
package plan
