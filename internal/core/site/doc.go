// Package site holds what operators declare for a whole deployment — routes,
// services, engines and models — and the instances that serve it.
package site
