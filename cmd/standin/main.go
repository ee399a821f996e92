// Command standin runs small stand-ins for the systems around marjorammoor.
package main

import (
	"os"

	"marjorammoor/internal/cli/starter"
)

func main() { os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr)) }
