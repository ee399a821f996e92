//go:build mutants

package mutator

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// failureLine matches a line of test output that gives the cause of a failure.
var failureLine = regexp.MustCompile(`(?m)^\s+(FAIL: .*|\S+_test\.go:\d+: .*|panic: .*)$`)

// TestMutants applies each mutant to a copy of the source and checks that the mutant's
// test fails.
func TestMutants(t *testing.T) {
	for _, m := range mutants(t) {
		t.Run(m.Guard, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS(root)); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, m.File)
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			changed := strings.Replace(string(b), m.Old, m.New, 1)
			if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
				t.Fatal(err)
			}
			build := exec.Command("go", "vet", "./"+filepath.Dir(m.File))
			build.Dir = dir
			if out, err := build.CombinedOutput(); err != nil {
				t.Fatalf("the mutant does not build: %s", out)
			}
			run := exec.Command("go", append([]string{"test", m.Package, "-run", m.Run, "-count", "1", "-timeout", "5m"}, m.Args...)...)
			run.Dir = dir
			out, err := run.CombinedOutput()
			if err == nil {
				t.Fatal("the test passes without the guard")
			}
			t.Logf("the test fails as expected: %s", strings.TrimSpace(failureLine.FindString(string(out))))
		})
	}
}
