//go:build review

// Command stage-3 runs the scripts of the third review: the stand-ins of each case, and the relay
// processes that it starts.
//
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a script, which must end within 120 s.
const maxTime = 118 * time.Second

// errNotRun is the exit code of a case that couldn't run.
const errNotRun = 2

// scene is one script. It returns whether the rule was broken.
type scene func(dir string, r *record, trouble bool) (broken bool, err error)

var scenes = map[string]scene{
	"crash": runCrash,
	"stale": runStale,
}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-3 SCENE RECORD")
		os.Exit(errNotRun)
	}
	go endOnSignal()
	os.Exit(run(os.Args[1], os.Args[2]))
}

// endOnSignal ends all hosts and this process at a signal, or when a script takes too long.
func endOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-ended:
	case <-time.After(maxTime):
		fmt.Fprintln(os.Stderr, "the script has taken too long")
	}
	killAll()
	os.Exit(errNotRun)
}

func run(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return errNotRun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "stage-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return errNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	broken, err := scenes[name](dir, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return errNotRun
	case broken:
		r.printf("result: the rule was broken")
		return 1
	}
	r.printf("result: the rule held")
	return 0
}
