// Package examples holds the templates and settings of the two deployments that
// the test tool plays, embedded so that tests read the files that users read.
package examples

import "embed"

// Files holds the folders arbok and acampadas.
//
//go:embed arbok/*.yaml acampadas/*.yaml
var Files embed.FS
