package main

import (
	"fmt"
	"os"
	"strings"
)

// The exit statuses.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each writes to a record and reports whether the rule held.
var cases = map[string]func(r *record) (holds bool, err error){
	"departures": departures,
	"crashes":    crashes,
	"parts":      parts,
	"repeats":    repeats,
	"silence":    silence,
}

// hasTrouble reports whether the disruption of a case is played.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	r.line("case %s, trouble %t", os.Args[1], hasTrouble())
	holds, err := cases[os.Args[1]](r)
	status := exitHeld
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		status = exitCannotRun
	case !holds:
		r.line("result: the rule is broken")
		status = exitBroken
	default:
		r.line("result: the rule held")
	}
	r.close()
	os.Exit(status)
}

// sum returns the entries of a count in a stable order.
func sum(counts map[string]int) string {
	parts := []string{}
	for _, k := range sortedKeys(counts) {
		parts = append(parts, fmt.Sprintf("%s: %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}
