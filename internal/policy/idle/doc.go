// Package idle decides how long an idle replica stays loaded.
package idle
