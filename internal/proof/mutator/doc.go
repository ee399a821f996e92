// Package mutator shows that the proofs can fail: for each guard it takes the
// guard out of a copy of the source, runs the test that is meant to notice, and
// expects it to fail.
//
// # Usage
//
// The guards are listed in testdata/mutants.json. The run takes several minutes
// and is not part of CI, which only checks that the list fits the source:
//
//	go test -tags mutants ./internal/proof/mutator -v -timeout 60m
package mutator
