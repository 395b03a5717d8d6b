// Package report compares keep-alive policies over simulated workloads and prints
// the results as a table.
package report
