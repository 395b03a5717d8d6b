// Package sample holds the example resources and requests that the dev command and the tests use.
package sample
