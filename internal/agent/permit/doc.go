// Package permit obtains permits for loads from the weight store from an entry of the agent's region.
package permit
