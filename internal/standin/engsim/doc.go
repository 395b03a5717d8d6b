// Package engsim is a stand-in for a model engine. It simulates loads and
// generations, has fault switches, and counts loads that would exceed its
// accelerator memory.
package engsim
