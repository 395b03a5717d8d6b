// Package tries keeps an agent's attempts: which ran, which were revoked, and the answers not yet acknowledged.
package tries
