// Command limebench is the load and experiment tool of limehold. It starts deployments
// on loopback, injects faults, and checks the guarantees of limehold.
package main

import (
	"os"

	"limehold/bench/command"
)

func main() { os.Exit(command.Run(os.Args)) }
