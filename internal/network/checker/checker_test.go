package checker

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// TestAddresses checks the addresses of testdata/addresses.json.
func TestAddresses(t *testing.T) {
	b, err := os.ReadFile("testdata/addresses.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Address string `json:"address"`
		OK      bool   `json:"ok"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		if err := Check(x.Address); (err == nil) != x.OK {
			t.Errorf("%q: %v", x.Address, err)
		}
	}
	if err := Check(strings.Repeat("9", 1<<20)); err == nil || len(err.Error()) > 4*maxShownBytes {
		t.Errorf("a long address gives %.300v", err)
	}
}
