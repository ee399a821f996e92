// Package commander is the command line of marjorammoor: serve runs a node, the
// other commands speak to any node's administration interface.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict with
// another operator's change, 4 not found, 5 accepted but not yet in force
// everywhere.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
package commander
