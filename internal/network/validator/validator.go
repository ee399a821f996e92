// Package validator checks the heads of HTTP/1.1 responses, before they are parsed, by RFC 9110
// (sections 5 and 15) and RFC 9112 (sections 4 to 6).
//
// Package net/http is lenient with them: it takes any three characters that parse as a number for a
// status, and a field name with a blank in it, which then nobody finds. So the response of a server in
// trouble may pass for another one, or for one with another body. The head of a sound server passes
// both; folded lines and bare line feeds do too.
//
// # Usage
//
//	h := &validator.Head{}
//	for !h.IsComplete() {
//		line, err := r.ReadSlice('\n')
//		// ...
//		if err := h.Add(line); err != nil {
//			return err
//		}
//	}
package validator

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a head that is none of HTTP/1.1's. Nothing in it may be used.
var ErrMalformed = errors.New("malformed head of a response")

const (
	versionPrefix = "HTTP/1."
	statusLength  = 3
	// maxStatus is the greatest status code.
	maxStatus = 599
	// maxShownBytes is how much of a line is shown in an error.
	maxShownBytes = 60
)

// Head checks the head of one response. The zero value waits for the status line.
type Head struct {
	// lines is the number of lines so far.
	lines      int
	isComplete bool
	status     int
	// minor is the minor version of the protocol.
	minor byte
	// hasCoding and hasLength are set once there is a Transfer-Encoding or a Content-Length.
	hasCoding, hasLength bool
}

// IsComplete reports whether the head has ended.
func (h *Head) IsComplete() bool { return h.isComplete }

// IsInterim reports whether the head has ended and is that of an interim response, so that another
// one follows.
func (h *Head) IsInterim() bool { return h.isComplete && h.status < http.StatusOK }

// Add adds the next line, with its end.
func (h *Head) Add(line []byte) error {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	if err := h.check(line); err != nil {
		return fmt.Errorf("%w: %w: %.*q", ErrMalformed, err, maxShownBytes, line)
	}
	h.lines++
	return nil
}

// check checks a line without its end.
func (h *Head) check(line []byte) error {
	switch {
	case h.lines == 0:
		return h.checkStatusLine(string(line))
	case len(line) == 0:
		h.isComplete = true
		return h.checkLength()
	case line[0] == ' ' || line[0] == '\t':
		return h.checkFolded(string(line))
	}
	return h.checkField(string(line))
}

// checkStatusLine checks HTTP-version SP status-code SP [ reason-phrase ]. Several spaces, and none
// after the code, are common.
func (h *Head) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, isKnown := strings.CutPrefix(version, versionPrefix)
	if !isKnown || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' {
		return errors.New("unknown version")
	}
	h.minor = minor[0]
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(code, 10, 0)
	if err != nil || len(code) != statusLength || status < http.StatusContinue || status > maxStatus {
		return errors.New("not a status code")
	}
	h.status = int(status)
	if h.status == http.StatusSwitchingProtocols {
		return errors.New("switches to a protocol that was not asked for")
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return errors.New("control byte in the reason")
	}
	return nil
}

// checkField checks field-name ":" OWS field-value OWS.
func (h *Head) checkField(line string) error {
	name, value, hasColon := strings.Cut(line, ":")
	if !hasColon || !httpguts.ValidHeaderFieldName(name) {
		return errors.New("not a field name")
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return errors.New("control byte in a field")
	}
	h.hasCoding = h.hasCoding || strings.EqualFold(name, "Transfer-Encoding")
	h.hasLength = h.hasLength || strings.EqualFold(name, "Content-Length")
	return nil
}

// checkFolded checks a line that goes on with the field of the line before.
func (h *Head) checkFolded(line string) error {
	if h.lines == 1 {
		return errors.New("blank before the first field")
	}
	if !httpguts.ValidHeaderFieldValue(line) {
		return errors.New("control byte in a field")
	}
	return nil
}

// checkLength checks that the fields agree on where the body ends.
func (h *Head) checkLength() error {
	switch {
	case h.hasCoding && h.hasLength:
		return errors.New("both a transfer coding and a length")
	case h.hasCoding && h.minor == '0':
		return errors.New("transfer coding in HTTP/1.0")
	}
	return nil
}
