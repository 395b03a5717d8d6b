// Package swap decides which server loads a wanted model and which models it
// evicts for that. It is built for a catalogue that nearly fits the servers'
// memory, with requests for rare models at any time and fast reloads of weights
// that are still in a server's memory or on its disk.
package swap
