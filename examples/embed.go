package sample

import "embed"

// Files holds the resource files at its root and the example requests in the requests directory.
//
//go:embed *.yaml requests/*.yaml
var Files embed.FS
