//go:build review

// Command standins runs the cases of the review: it starts the controllers as processes, plays the
// state service, the cloud, machines, users and receivers of notifications, and judges what these see.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases holds the cases by name.
var cases = map[string]func(ctx context.Context, rec *record, binary, dir string, trouble bool) int{}

func main() {
	runtime.LockOSThread() // the controllers end with this thread
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE BINARY FOLDER RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Args[4], os.Getenv("TROUBLE") != "0"))
}

func run(name, binary, dir, recordFile string, trouble bool) int {
	f, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	rec := &record{f: f, start: time.Now()}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 118*time.Second)
	defer cancel()
	c, ok := cases[name]
	if !ok {
		return failed
	}
	rec.printf("case %s, trouble: %v", name, trouble)
	code := c(ctx, rec, binary, dir, trouble)
	rec.printf("exit code %d: %s", code, [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	fmt.Println([...]string{"held", "BROKEN", "could not run"}[code])
	return code
}
