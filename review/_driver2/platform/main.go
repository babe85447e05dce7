// Command review-2 plays the scripted cases of the second review: it starts gateways
// as separate processes, with a store, replicas and clients of its own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. It reports whether the rule was broken.
type play func(r *recorder, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"first-part": playFirstPart,
	"split":      playSplit,
	"usage":      playUsage,
	"silence":    playSilence,
	"drill":      playDrill,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("start", map[string]any{"case": os.Args[1], "trouble": trouble})
	broken, err := plays[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		os.Exit(exitNotRun)
	case broken:
		r.say("the rule was broken")
		os.Exit(exitBroken)
	}
	r.say("the rule held")
	os.Exit(exitHeld)
}

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
