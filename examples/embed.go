package sample

import "embed"

// Files holds the resource files and the requests directory.
//
//go:embed *.yaml requests/*.yaml
var Files embed.FS
