// Command standin has the stand-ins and the clients of the cases in review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest time of a case.
const maxTime = 112 * time.Second

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the scripts, by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "use: standin worker ... | standin CASE PROGRAM RECORD")
		os.Exit(couldNot)
	}
	if os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(couldNot)
		}
		return
	}
	os.Exit(runCase(os.Args[1:]))
}

func runCase(args []string) int {
	do, known := cases[args[0]]
	if !known || len(args) != 3 {
		fmt.Fprintln(os.Stderr, "unknown case, or no program and record")
		return couldNot
	}
	f, err := newFleet(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if f != nil {
			f.close()
		}
		return couldNot
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var isBroken bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		isBroken, err = do(f, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case <-ended:
	case s := <-stopped:
		fmt.Println("stopped:", s)
		return couldNot
	case <-time.After(maxTime):
		fmt.Println("the case took too long")
		return couldNot
	}
	switch {
	case err != nil:
		f.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	case isBroken:
		fmt.Println("the rule was broken")
		return broken
	}
	fmt.Println("the rule held")
	return held
}
