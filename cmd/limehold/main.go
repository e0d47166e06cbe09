// Command limehold runs the processes of a fleet and the commands for operators.
package main

import (
	"os"

	"limehold/cli"
	"limehold/platform"
)

func main() { os.Exit(cli.Run(os.Args, platform.Extensions())) }
