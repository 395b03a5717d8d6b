// Package mates carries what fronts tell one another: views of the site, wishes for models, and the use of models.
package mates
