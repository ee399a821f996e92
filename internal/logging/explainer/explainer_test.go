package explainer

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/gravitational/trace"
)

// TestStory compares the output for a request in two log files with testdata/q1.txt.
func TestStory(t *testing.T) {
	want, err := os.ReadFile("testdata/q1.txt")
	if err != nil {
		t.Fatal(err)
	}
	out := &bytes.Buffer{}
	e := &Explainer{Request: "q1"}
	if err := e.Files([]string{"testdata/edge-1.log", "testdata/edge-2.log"}, out); err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("got:\n%s\nexpected:\n%s", out, want)
	}
}

// TestNothing checks the errors for a request without lines, for a missing file and
// for a line that is too long.
func TestNothing(t *testing.T) {
	err := (&Explainer{Request: "q9"}).Files([]string{"testdata/edge-1.log"}, &bytes.Buffer{})
	if !trace.IsNotFound(err) || !strings.Contains(err.Error(), "edge-1.log:6") {
		t.Errorf("got error %v, expected NotFound that names edge-1.log:6", err)
	}
	if err := (&Explainer{Request: "q1"}).Files([]string{"testdata/none.log"}, &bytes.Buffer{}); !trace.IsNotFound(err) {
		t.Errorf("got error %v, expected NotFound", err)
	}
	err = (&Explainer{Request: "q1"}).Stream(strings.NewReader("{"+strings.Repeat("x", maxLineBytes+1)), &bytes.Buffer{})
	if !trace.IsBadParameter(err) {
		t.Errorf("got error %v, expected BadParameter", err)
	}
}

// TestStream checks that one reading of a stream prints just the lines of the request.
func TestStream(t *testing.T) {
	in, err := os.Open("testdata/edge-1.log")
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close() //nolint:errcheck
	out := &bytes.Buffer{}
	if err := (&Explainer{Request: "q1"}).Stream(in, out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "request "); n != 2 {
		t.Errorf("got %d lines of the request, expected 2:\n%s", n, out)
	}
}
