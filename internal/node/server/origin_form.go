package server

import (
	"net/http"
	"strings"
)

// useOriginForm cuts the host off a target that names one, such as http://h.example/x. Servers
// must take that form, but runners get the path and query that it stands for.
func useOriginForm(r *http.Request) {
	_, rest, isAbsolute := strings.Cut(r.RequestURI, "://")
	if !isAbsolute || r.URL.Scheme == "" {
		return
	}
	begin := strings.IndexAny(rest, "/?")
	if begin < 0 {
		begin = len(rest)
	}
	r.RequestURI = rest[begin:]
	if !strings.HasPrefix(r.RequestURI, "/") {
		r.RequestURI = "/" + r.RequestURI
		r.URL.Path = "/"
	}
}
