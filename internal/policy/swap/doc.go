// Package swap decides which server loads a wanted model and which models are
// evicted for it: it answers a catalogue that nearly fits, in which rare models are
// asked for at any time and a model comes back fast where its weights still lie
// in a server's memory or on its disk.
package swap
