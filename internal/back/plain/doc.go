// Package plain is an HTTP client of plain services, which are services other than model engines.
package plain
