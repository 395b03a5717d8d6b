// Package site defines the configuration of a whole deployment (routes, services,
// engines and models) and the state of the instances that serve it.
package site
