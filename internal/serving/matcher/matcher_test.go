package matcher

import (
	"encoding/json"
	"os"
	"testing"
)

// TestMatch guards against requests for a known route that are turned away for the way in which
// they name its host or path, and against requests that reach another route.
func TestMatch(t *testing.T) {
	b, err := os.ReadFile("testdata/matches.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Name string `json:"name"`
		Host string `json:"host"`
		Path string `json:"path"`
		// Route is the name of the matching route, or empty if none matches.
		Route string `json:"route"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	c := &Catalog{}
	c.AddRoutes([]*Route{
		{Name: "x", Host: "a.Example", PathPrefix: "/x/"},
		{Name: "y", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "port", Host: "a.example:81", PathPrefix: "/x/"},
		{Name: "b", Host: "b.example.", PathPrefix: "/x/"},
		{Name: "address", Host: "[::1]", PathPrefix: "/x/"},
		{Name: "umlaut", Host: "a.example", PathPrefix: "/ü/"},
		{Name: "encoded", Host: "a.example", PathPrefix: "/%C3%A4/"},
	})
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			r, ok := c.Match(x.Host, x.Path)
			if !ok {
				r = &Route{}
			}
			if r.Name != x.Route {
				t.Errorf("route %q, want %q", r.Name, x.Route)
			}
		})
	}
}
