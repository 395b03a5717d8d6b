// Package peers carries messages between fronts: views of the site, requests for models, and usage reports.
package peers
