// Package tester proves the system's guarantees with real processes: it starts
// the platform's stand-in, runners and nodes, each on a loopback address of its
// own, puts a fault-injecting proxy on every link, and checks histories of what
// callers, runners, operators and nodes saw.
//
// # Usage
//
// Each script of testdata/scripts is a test; its commands are described in
// docs/design/proofs.md.
//
//	go test ./internal/proof/tester -run 'TestScripts/member_kill'
package tester
