// Package plan defines placement decisions: the endpoints that may load replicas
// of a model and the endpoints that own claim partitions.
package plan
