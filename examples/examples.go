// Package examples embeds the templates and settings of the two example
// deployments, so that tests use the same files as users.
package examples

import "embed"

// Files holds the folders arbok and acampadas.
//
//go:embed arbok/*.yaml acampadas/*.yaml
var Files embed.FS
