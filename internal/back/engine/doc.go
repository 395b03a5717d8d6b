// Package engine speaks to model engines: OpenAI chat completions with streaming, and load, unload and report calls.
package engine
