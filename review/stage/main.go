//go:build review

// Command stage plays one case of the review: real hosts as processes, and stand-ins for
// the platform, its replicas and its consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// maxLength is how long a case may take.
const maxLength = 115 * time.Second

func init() { runtime.LockOSThread() } // hosts are started by the main thread, whose end ends them

// play is one case. It returns whether the rule was broken.
type play func(s *scene) (broken bool, err error)

// plays are the cases, by name. Each adds itself.
var plays = map[string]play{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		return 2
	}
	s, err := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	go s.giveUp()
	broken, err := plays[os.Args[1]](s)
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		return 2
	case broken:
		return 1
	}
	return 0
}

// giveUp ends a case that takes too long or is to end, with all that it started.
func (s *scene) giveUp() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(maxLength):
	}
	s.note("given up")
	s.close()
	os.Exit(2)
}
