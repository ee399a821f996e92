// Command rig-2 plays the cases of the second review that are scripts.
//
// It starts nodes as separate processes with the command of the deploy file, on loopback
// addresses, beside stand-ins of the platform's store, of runners and of clients. The stand-ins do
// only what the users' pages allow them. It writes what was sent, answered and run to a record.
//
// # Usage
//
//	rig-2 departures review/6/record.txt
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main
