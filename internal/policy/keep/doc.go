// Package keep decides how long an idle replica stays loaded.
package keep
