// Package pack compresses values, alone or as changes against another value that both ends have.
package pack
