// Package view keeps a node's copy of the configuration; updates never take it back to an older revision.
package view
