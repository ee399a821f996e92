package mutator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const root = "../../.."

// mutant is a guard and how it is taken out.
type mutant struct {
	// Guard says what the mutant no longer does.
	Guard string `json:"guard"`
	File  string `json:"file"`
	Old   string `json:"old"`
	New   string `json:"new"`
	// Package and Run name the test that must fail.
	Package string `json:"package"`
	Run     string `json:"run"`
	// Args are further arguments of the test.
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

// TestListFits makes sure that every guard of the list is still in the source.
func TestListFits(t *testing.T) {
	for _, m := range mutants(t) {
		b, err := os.ReadFile(filepath.Join(root, m.File))
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(b), m.Old); n != 1 {
			t.Errorf("%s: the guard is %d times in %s", m.Guard, n, m.File)
		}
	}
}
