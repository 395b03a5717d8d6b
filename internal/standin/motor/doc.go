// Package motor stands in for a model engine, with fault switches and an assertion on its accelerator memory.
package motor
