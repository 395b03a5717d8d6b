// Package conf reads the settings of processes and the files of resources, strictly.
package conf
