// Command stand plays the cases of the review: it starts the project's gates as separate processes, beside stand-ins of the
// platform's store, of servers and of consumers that follow the users' pages.
//
// It exits with 1 if a rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	runtime.LockOSThread() // A gate ends with the thread that started it.
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD FOLDER")
		os.Exit(cannotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(cannotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code := play(rec, os.Args[3])
	rec.close()
	os.Exit(code)
}

// cases are the cases by name. Each returns the exit code.
var cases = map[string]func(rec *record, folder string) int{
	"second-copy":  playSecondCopy,
	"early-answer": playEarlyAnswer,
}
