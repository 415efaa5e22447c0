// Command standins3 plays the cases of the third review: it starts the programs of the
// deploy file on loopback addresses, with stand-ins for clients, runners and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// current is the fleet of the case, if it has started.
var current atomic.Pointer[fleet]

// giveUp ends all processes and this one after a signal or the longest time.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	if f := current.Load(); f != nil {
		f.close()
	}
	fmt.Fprintln(os.Stderr, "the case was given up")
	os.Exit(2)
}

var cases = map[string]func(f *record, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go giveUp()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", os.Args[1], trouble)
	err = cases[os.Args[1]](r, trouble)
	broken := r.violations()
	r.add("end: %d violations, error %v", len(broken), err)
	r.close()
	for i, text := range broken {
		if i < 20 {
			fmt.Println("broken:", text)
		}
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
