package reserver

import (
	"encoding/json"
	"os"
	"testing"
)

// TestLargestHeadGivesWay guards against heads of sound callers that are refused, or memory that is
// exceeded, since other heads do not end.
func TestLargestHeadGivesWay(t *testing.T) {
	b, err := os.ReadFile("testdata/heads.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []struct {
		Name     string `json:"name"`
		LimitKiB int64  `json:"limit_kib"`
		Heads    []struct {
			KiB int64 `json:"kib"`
		} `json:"heads"`
		// Whole tells which heads have found their memory and kept it.
		Whole []bool `json:"whole"`
	}{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		r := &Reserver{Limit: func() int64 { return x.LimitKiB << 10 }}
		heads := []*Reservation{}
		for _, head := range x.Heads {
			h := r.Reserve("", func() {})
			heads = append(heads, h)
			for left := head.KiB; left > 0 && h.Insist(1<<10) == nil; left-- {
				if r.used-r.leaving > r.Limit() {
					t.Fatalf("%s: %d bytes are in use, of these %d give way", x.Name, r.used, r.leaving)
				}
			}
		}
		for i, h := range heads {
			if h.isRevoked == x.Whole[i] {
				t.Errorf("%s: head %d gave way: %t", x.Name, i, h.isRevoked)
			}
			h.Release()
		}
		if r.used != 0 || r.leaving != 0 || len(r.growing) != 0 {
			t.Errorf("%s: %d bytes and %d reservations are left, %d bytes give way", x.Name, r.used, len(r.growing), r.leaving)
		}
	}
}
