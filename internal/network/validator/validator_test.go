package validator

import (
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
			isComplete, err := add(strings.ReplaceAll(x.Head, "{}", strings.Repeat("x", x.Repeat)))
			if isSound := err == nil && isComplete; isSound != x.Sound {
				t.Errorf("complete %t, %v; want sound %t", isComplete, err, x.Sound)
			}
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Error(err)
			}
		})
	}
}

// add adds the heads of responses, and reports whether the final one is complete.
func add(text string) (bool, error) {
	h := &Head{}
	for line := range strings.Lines(text) {
		if err := h.Add([]byte(line)); err != nil {
			return false, err
		}
		if h.IsInterim() {
			h = &Head{}
		}
	}
	return h.IsComplete(), nil
}
