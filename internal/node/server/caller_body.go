package server

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// discardTime is how long a small body that is not wanted may take to arrive.
const discardTime = time.Second

// leaveBody prepares for the response to a request whose body is not wanted. A small one is thrown
// away, so that the connection can be used again. After others the response is the last one of
// the connection, and http.Server throws away a part of what comes within lingerTime, so that the
// caller can read the response.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(discardTime))
	// A caller that waits for the word to continue has sent nothing.
	if r.ContentLength <= smallBodyBytes && r.Header.Get("Expect") == "" {
		if _, err := io.CopyN(io.Discard, r.Body, smallBodyBytes+1); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
}
