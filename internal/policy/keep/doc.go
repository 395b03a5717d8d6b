// Package keep decides how long an idle replica stays loaded and when a dormant one is loaded ahead of its next request.
package keep
