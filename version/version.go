// Package version tells how a program was built.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Number of the release. Set at build time with -ldflags "-X limehold/version.Number=...".
var Number = "0.1.0-dev"

// Text is the release, the commit and the Go version.
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
