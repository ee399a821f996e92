// Package discarder prepares for responses to requests whose bodies are not read to their end.
//
// Left to itself, http.Server waits for the rest of a body of up to 256 KiB before it sends the
// response, without a time limit. And closing a connection with unread bytes resets it, so that the
// caller may never read the response.
//
// # Usage
//
//	discarder.Leave(w, r) // the body is not wanted
//	w.WriteHeader(http.StatusUnauthorized)
package discarder

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// smallBodyBytes is the size up to which a body that is not wanted is read, and smallBodyTime how
	// long it may take to arrive.
	smallBodyBytes = 32 << 10
	smallBodyTime  = time.Second
	// LingerTime is how long a connection is read on after its last response.
	LingerTime = 200 * time.Millisecond
)

// Leave prepares for the response to a request whose body is not wanted. A small one is thrown
// away, so that the connection can be used again. One that has been read is left as it is.
func Leave(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	control := http.NewResponseController(w)
	// A caller that waits for the word to continue has sent nothing.
	if r.ContentLength <= smallBodyBytes && r.Header.Get("Expect") == "" {
		_ = control.SetReadDeadline(time.Now().Add(smallBodyTime))
		if _, err := io.CopyN(io.Discard, r.Body, smallBodyBytes+1); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	Close(w)
}

// Close makes the response the last one of its connection. http.Server sends it at once, and then
// throws away a part of what comes within LingerTime.
func Close(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(LingerTime))
}
