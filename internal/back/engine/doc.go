// Package engine is a client of model engines: streaming OpenAI chat completions, and load, unload and report calls.
package engine
