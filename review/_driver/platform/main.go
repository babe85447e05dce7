// Command driver runs one case of the review: it starts gateways as the deploy
// file says, with stand-ins for the platform's store, replicas and clients on
// loopback addresses, and exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// caseFunc runs a case. It returns what broke the rule, one line for each.
type caseFunc func(w *world, trouble bool) (violations []string, err error)

var cases = map[string]caseFunc{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE DIR")
		return exitNotRun
	}
	name, dir := os.Args[1], os.Args[2]
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.record("case %s, disruption: %v", name, trouble)
	violations, err := runLimited(c, w, trouble)
	if closeErr := w.close(); closeErr != nil {
		err = errors.Join(err, closeErr)
	}
	if err != nil {
		w.record("case did not run: %v", err)
		fmt.Fprintln(os.Stderr, "case did not run:", err)
		return exitNotRun
	}
	for _, v := range violations {
		w.record("broken: %s", v)
		fmt.Println("broken:", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	w.record("held")
	fmt.Println("held")
	return exitHeld
}

// maxDuration is the longest time of a case, without the end of its processes.
const maxDuration = 112 * time.Second

func runLimited(c caseFunc, w *world, trouble bool) ([]string, error) {
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		v, err := c(w, trouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.violations, r.err
	case <-time.After(maxDuration):
		return nil, fmt.Errorf("not done after %v", maxDuration)
	}
}
