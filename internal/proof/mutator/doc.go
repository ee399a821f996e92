// Package mutator is a mutation test of the other tests. A guard is a piece of code
// that prevents a fault. For each guard the package disables it in a copy of the
// source, runs the test that should detect the fault, and expects that test to fail.
//
// # Usage
//
// The mutants are listed in testdata/mutants.json. The run takes several minutes and
// is not part of CI, which only checks that each mutant still applies to the source:
//
//	go test -tags mutants ./internal/proof/mutator -v -timeout 60m
package mutator
