// Command marjorammoor runs and administers the nodes of a serving system for models
// whose replicas span several VMs.
package main

import (
	"os"

	"marjorammoor/internal/cli/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr)) }
