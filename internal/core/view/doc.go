// Package view holds a node's copy of the configuration, which only ever moves to newer revisions.
package view
