// Package caller serves the callers' API: chat completions, the list of models, and plain services.
package caller
