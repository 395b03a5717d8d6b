// Package placer is the planner: one entry at a time, by lease, decides which endpoints hold each model's slots and claim partitions.
package placer
