// Package agent assembles an agent: the process beside one endpoint that owns its engine or plain service.
package agent
