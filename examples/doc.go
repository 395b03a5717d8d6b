// Package sample embeds the example resources and requests used by the dev command and the tests.
package sample
