// Package tester holds the end-to-end tests of the system's guarantees. A test
// starts the simulated platform and runners and real nodes as processes, each on a
// separate loopback address, connects every node to all other processes through
// fault-injecting proxies, and checks the recorded histories of callers, runners,
// operators and nodes.
//
// # Usage
//
// Each script in testdata/scripts is a test. docs/design/proofs.md describes the
// commands.
//
//	go test ./internal/proof/tester -run 'TestScripts/member_kill'
package tester
