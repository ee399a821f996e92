package mutator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const root = "../../.."

// mutant is a change of the source that disables a guard.
type mutant struct {
	// Guard describes the behavior that the mutant breaks.
	Guard string `json:"guard"`
	// File is the changed source file, in which Old is replaced by New. Old must
	// occur exactly once.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Package and Run select the test that must fail, as in go test -run.
	Package string `json:"package"`
	Run     string `json:"run"`
	// Args are further arguments of go test.
	Args []string `json:"args"`
}

func mutants(t *testing.T) []mutant {
	t.Helper()
	b, err := os.ReadFile("testdata/mutants.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []mutant{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// TestListFits checks that the source text of every guard in the list occurs exactly
// once in its file, so that a changed guard is not dropped from the mutation tests.
func TestListFits(t *testing.T) {
	for _, m := range mutants(t) {
		b, err := os.ReadFile(filepath.Join(root, m.File))
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(b), m.Old); n != 1 {
			t.Errorf("%s: found the guard %d times in %s, expected once", m.Guard, n, m.File)
		}
	}
}
