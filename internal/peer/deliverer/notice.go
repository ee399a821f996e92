package deliverer

import (
	"bytes"
	"strconv"
)

// The header of a response tells how often a request may have reached a runner when the response
// began. A stream that has begun may be sent again after that. If it then breaks off, the node
// writes the number as the last event, a comment, which the other node takes out.

var (
	noticeStart = []byte(": x-delivery-attempts ")
	eventEnd    = []byte("\n\n")
)

// AppendNotice appends the event that tells the number of attempts.
func AppendNotice(b []byte, attempts int) []byte {
	b = append(b, noticeStart...)
	b = strconv.AppendInt(b, int64(attempts), 10)
	return append(b, eventEnd...)
}

// CutNotice takes that event off the end of complete events. ok is false if it is not there.
func CutNotice(events []byte) (rest []byte, attempts int, ok bool) {
	text, ok := bytes.CutSuffix(events, eventEnd)
	if !ok {
		return events, 0, false
	}
	start := 0
	if i := bytes.LastIndex(text, eventEnd); i >= 0 {
		start = i + len(eventEnd)
	}
	number, ok := bytes.CutPrefix(text[start:], noticeStart)
	if !ok {
		return events, 0, false
	}
	attempts, err := strconv.Atoi(string(number))
	if err != nil || attempts < 0 {
		return events, 0, false
	}
	return events[:start], attempts, true
}
