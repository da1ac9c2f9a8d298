//go:build review

// Command standins plays the cases of the second review: it starts the project's controllers as
// processes, and stand-ins for users, workers, cloud, state service and receivers.
package main

import (
	"fmt"
	"os"
)

// A case returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
var cases = map[string]func(rec *recorder, trouble bool) (int, error){
	"nomad-purge":   nomadPurge,
	"nomad-stale":   nomadStale,
	"notify-lookup": notifyLookup,
	"history":       history,
	"vacating":      vacating,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE DIR")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case could not run: %v", err)
		code = 2
	}
	rec.log("%s", [...]string{"the rule held", "THE RULE IS BROKEN", "the case could not run"}[code])
	os.Exit(code)
}
