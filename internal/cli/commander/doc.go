// Package commander is the command line of marjorammoor. The command serve runs a
// node; check, explain and version work offline; the other commands call the
// administration interface of any node.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, settings or objects, 3 conflict
// with another operator's change, 4 not found, 5 change accepted but not yet in force
// in every connected data centre.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
package commander
