// Command limebench is limehold's load and experiment tool. It starts whole
// deployments on loopback, breaks them, and judges what they promised.
package main

import (
	"os"

	"limehold/bench/command"
)

func main() { os.Exit(command.Run(os.Args)) }
