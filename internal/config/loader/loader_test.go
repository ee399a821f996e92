package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBadSettings parses each testdata/bad_*.json and checks that the error contains
// the text of the file's first line, a comment.
func TestBadSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/bad_*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no test data", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			first, _, _ := strings.Cut(string(b), "\n")
			wanted := strings.TrimPrefix(first, "// ")
			_, err = Parse(b)
			if err == nil || !strings.Contains(err.Error(), wanted) {
				t.Errorf("got error %v, expected it to contain %q", err, wanted)
			}
		})
	}
}

// FuzzParse checks that no input makes Parse panic, and that Parse returns either
// settings or an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "n1", /* comment */ "data_center": "vake",}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if (s == nil) == (err == nil) {
			t.Error("expected either settings or an error")
		}
	})
}
