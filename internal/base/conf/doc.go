// Package conf reads the settings of processes and files of resources; unknown fields are errors.
package conf
