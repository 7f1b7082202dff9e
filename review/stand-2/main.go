//go:build review

// Command stand-2 holds the stand-ins and the checks of the scripts in review/6 to review/10. It starts hosts with the command of
// the deploy file, brings about one case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	started  = time.Now()
	recordMu sync.Mutex
	record   *os.File
)

// note writes a line to record.txt and to standard output.
func note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(started).Seconds()) + fmt.Sprintf(format, args...)
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Println(line)
	_, _ = fmt.Fprintln(record, line) // the check does not depend on the file
}

// trouble reports whether the disruption is to be brought about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func() (broken bool, err error){
	"late-order":    lateOrder,
	"lost-copy":     lostCopy,
	"empty-primary": emptyPrimary,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]]()
	switch {
	case err != nil:
		note("the case couldn't run: %v", err)
		os.Exit(2)
	case broken:
		note("result: the rule was broken")
		os.Exit(1)
	}
	note("result: the rule held")
}
