package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBadSettings reads each bad file of testdata; its first line is a comment
// with the text that the error must contain.
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
				t.Errorf("got error %v, wanted %q", err, wanted)
			}
		})
	}
}

// FuzzParse makes sure that no settings make the parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "n1", /* comment */ "data_center": "vake",}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if (s == nil) == (err == nil) {
			t.Error("expected either settings or an error")
		}
	})
}
