// Package fade counts events so that older ones weigh less.
package fade
