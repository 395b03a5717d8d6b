// Package agent assembles the agent process, which runs beside one endpoint and controls access to its
// model engine or plain service.
package agent
