// Command rig-3 plays the cases of the third review that are scripts. Each starts nodes as separate
// processes against stand-ins of the store, the runners and the callers, all on loopback.
//
// # Usage
//
//	target/rig-3 CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, and exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the environment it leaves
// out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. hasTrouble is false if the disruption is left out.
var cases = map[string]func(w *world, hasTrouble bool) error{
	"leaving_caller": leavingCaller,
	"foreign_bytes":  foreignBytes,
	"last_tenant":    lastTenant,
	"many_fields":    manyFields,
	"many_parts":     manyParts,
	"odd_domain":     oddDomainEntry,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD")
		return exitFailed
	}
	record, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	w, err := newWorld(record)
	if err != nil {
		record.note("the case cannot run: %v", err)
		return exitFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[args[0]](w, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case s := <-signals:
		err = fmt.Errorf("ended by the signal %v", s)
	case <-time.After(maxTime):
		err = errors.New("the case did not end in time")
	}
	w.close()
	switch {
	case err == nil:
		record.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.note("result: %v", err)
		return exitBroken
	}
	record.note("the case cannot run: %v", err)
	return exitFailed
}
