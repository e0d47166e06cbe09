// Command limehold runs the processes of the fleet and the operators' commands.
package main

import (
	"os"

	"limehold/cli"
	"limehold/platform"
)

func main() { os.Exit(cli.Run(os.Args, platform.Extensions())) }
