package validator

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
)

// head is one entry of testdata/heads.json: the head of a response, and of the interim responses
// before it. Tests of the packages that read responses play the list too.
type head struct {
	Name  string `json:"name"`
	Head  string `json:"head"`
	Sound bool   `json:"sound"`
	// Repeat is the number of bytes that stand for {}.
	Repeat int `json:"repeat"`
}

func TestHeads(t *testing.T) {
	b, err := os.ReadFile("testdata/heads.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []head{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			text := []byte(strings.ReplaceAll(x.Head, "{}", strings.Repeat("x", x.Repeat)))
			for _, size := range []int{1, 7, len(text)} {
				isComplete, err := add(text, size)
				if isSound := err == nil && isComplete; isSound != x.Sound {
					t.Errorf("by %d bytes: complete %t, %v; want sound %t", size, isComplete, err, x.Sound)
				}
				if err != nil && !errors.Is(err, ErrMalformed) {
					t.Errorf("by %d bytes: %v", size, err)
				}
			}
		})
	}
}

// add adds the heads of responses by so many bytes, and reports whether the final one is complete.
func add(text []byte, size int) (bool, error) {
	h := &Head{}
	for len(text) > 0 {
		n := min(size, len(text))
		if end := bytes.IndexByte(text[:n], '\n'); end >= 0 {
			n = end + 1
		}
		if err := h.Add(text[:n]); err != nil {
			return false, err
		}
		text = text[n:]
		if h.IsInterim() {
			h = &Head{}
		}
	}
	return h.IsComplete(), nil
}
