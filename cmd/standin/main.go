// Command standin runs stand-ins for the systems around marjorammoor, for tests and
// experiments: the platform, runner VMs and callers.
package main

import (
	"os"

	"marjorammoor/internal/cli/starter"
)

func main() { os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr)) }
