package main

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// The case parts: one part of prompts crashes each runner that begins to write an answer on it. The
// prompts are long conversations of many parts; no two requests are alike, and sound ones share all
// their other parts.

// partCount is the number of shared parts of each prompt, and badPart the place of the bad one.
const (
	partCount = 70
	badPart   = 66
)

// sharedParts returns the shared parts of a prompt.
func sharedParts(isBad bool) string {
	parts := []string{systemPart}
	for i := 1; i < partCount; i++ {
		if isBad && i == badPart {
			parts = append(parts, "bad0bad0:12")
		}
		parts = append(parts, fmt.Sprintf("%08x:12", 0x20000000+i))
	}
	return strings.Join(parts, ",")
}

func parts(r *record) (holds bool, err error) {
	number := atomic.Int64{}
	return playRepeats(r, repeatCase{
		shared:  sharedParts,
		body:    func() string { return fmt.Sprintf("%s, question %d", badPrompt, number.Add(1)) },
		counted: 5,
	})
}
