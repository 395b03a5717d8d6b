// Package httpd serves HTTP for a process: metrics, health and readiness beside its own API.
package httpd
