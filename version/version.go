// Package version reports how a program was built.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Number is the release. It is set at build time with -ldflags "-X limehold/version.Number=...".
var Number = "0.1.0-dev"

// Text returns the release, the commit and the Go version.
func Text() string {
	commit := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				commit = setting.Value
			}
		}
	}
	return fmt.Sprintf("%s commit %s %s", Number, commit, runtime.Version())
}
