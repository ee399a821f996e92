package splitter

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"
)

// TestElements checks where the elements of the texts in testdata begin and end.
func TestElements(t *testing.T) {
	b, err := os.ReadFile("testdata/arrays.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Text     string   `json:"text"`
		Elements []string `json:"elements"`
		Fails    bool     `json:"fails"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		list, err := Elements([]byte(x.Text))
		got := []string{}
		for _, v := range list {
			got = append(got, string(v.Text))
		}
		if (err != nil) != x.Fails || err == nil && !slices.Equal(got, x.Elements) {
			t.Errorf("%s: %q, error %v", x.Text, got, err)
		}
	}
}

// TestDeepElementIsSkipped guards against a depth at which the following elements are lost.
func TestDeepElementIsSkipped(t *testing.T) {
	const depth = 2_000_000
	list, err := Elements([]byte("[" + strings.Repeat("[", depth) + strings.Repeat("]", depth) + ",7]"))
	if err != nil || len(list) != 2 || list[0].Depth != depth || string(list[1].Text) != "7" {
		t.Errorf("%d elements, error %v", len(list), err)
	}
}

// FuzzElements checks that elements of valid arrays are those that a decoder finds, and
// that no text makes the splitter panic.
func FuzzElements(f *testing.F) {
	for _, s := range []string{`[]`, `[1,"a\"]",{"b":[null]}]`, `[{"a":"\\"}, true ]`, `[`, `{"a":1,"a":{"b":2}}`, "[\"\xff\"]", `["\`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Elements(text)
		members, membersErr := Members(text)
		decoded := []json.RawMessage{}
		if json.Unmarshal(text, &decoded) == nil {
			if err != nil || len(list) != len(decoded) {
				t.Fatalf("%d elements of %d, error %v", len(list), len(decoded), err)
			}
			for i, v := range list {
				if string(v.Text) != string(decoded[i]) {
					t.Fatalf("element %d is %q, want %q", i, v.Text, decoded[i])
				}
			}
		}
		byName := map[string]json.RawMessage{}
		if json.Unmarshal(text, &byName) == nil && byName != nil {
			if membersErr != nil || len(members) != len(byName) {
				t.Fatalf("%d members of %d, error %v", len(members), len(byName), membersErr)
			}
			for name, v := range members {
				if string(v.Text) != string(byName[name]) {
					t.Fatalf("member %q is %q, want %q", name, v.Text, byName[name])
				}
			}
		}
	})
}
