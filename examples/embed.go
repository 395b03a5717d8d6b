package sample

import "embed"

// Files holds the resource files at its root, the example requests in the requests directory and client accounts
// in the accounts directory.
//
//go:embed *.yaml accounts/*.yaml requests/*.yaml
var Files embed.FS
