// Command _driver3 plays the scripted cases of the third review. It starts
// gateways as separate processes with the command of the deploy file, with
// stand-ins for the store, the replicas and the callers, and writes a record of
// what was sent, answered and run.
//
//	driver CASE DIR   plays a case and writes DIR/record.txt
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case
// couldn't run. With TROUBLE=0 in the environment the case runs without its
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// A verdict is the outcome of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// cases holds the cases by name. Each file case_NAME.go adds one.
var cases = make(map[string]func(*run) (verdict, error))

// run is one play of a case.
type run struct {
	*record
	trouble bool
	dir     string // temporary folder
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE DIR")
		os.Exit(int(failed))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, dir string) verdict {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	tmp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		rec.printf("can't run: %v", err)
		return failed
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", dir: tmp}
	guard(r)
	r.printf("case %s, trouble %v", name, r.trouble)
	v, err := cases[name](r)
	if err != nil {
		r.printf("can't run: %v", err)
		return failed
	}
	r.printf("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", failed: "the case couldn't run"}[v])
	return v
}

// maxTime bounds a play.
const maxTime = 115 * time.Second

// guard ends the driver and all processes that it has started at a signal, or when the
// play takes too long.
func guard(r *run) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			r.printf("can't run: ended by signal %v", s)
		case <-time.After(maxTime):
			r.printf("can't run: not done after %v", maxTime)
		}
		killAll()
		_ = os.RemoveAll(r.dir)
		os.Exit(int(failed))
	}()
}

// pause sleeps for some time.
func pause(d time.Duration) { time.Sleep(d) }
