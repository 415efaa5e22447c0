// Command standin2 plays the cases of the second review: it starts the project's programs
// as processes, with stand-ins for the platform, the operator, clients and runners.
//
//	standin2 CASE RECORD
//
// With TROUBLE=0 in the environment it leaves the disruption out. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// scenario runs a case and returns the breaks of its rule.
type scenario func(rec *record, trouble bool) (breaks []string, err error)

var scenarios = map[string]scenario{}

// finish is finish_s of the settings, window the time without a run that breaks LOST.
const (
	finish = 14 * time.Second
	window = 3 * time.Second
)

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption: %t", os.Args[1], trouble)
	breaks, err := scenarios[os.Args[1]](rec, trouble)
	for _, text := range breaks {
		rec.note("BROKEN %s", text)
		fmt.Println(text)
	}
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case len(breaks) > 0:
		return 1
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// lost checks LOST finish_s after the end of the traffic: each accepted job is known, and
// none has nothing running for 3 s while there is room for it twice over and under half of
// the capacity is in use.
func (c *cluster) lost(accepted []*job, cpuOf func(task string) int64) []string {
	if len(c.unfinished(accepted)) == 0 {
		return nil
	}
	time.Sleep(finish)
	open := c.unfinished(accepted)
	if len(open) == 0 {
		return nil
	}
	idle, used := c.idleFor(open, window, cpuOf)
	still := c.unfinished(idle)
	var breaks []string
	for _, j := range still {
		if used < 0.5 {
			breaks = append(breaks, fmt.Sprintf("LOST: %s, accepted at %s, is %q and has had nothing running for %s; %.0f%% of the capacity in use",
				j.id, c.at(j.accepted), j.state, window, 100*used))
		}
	}
	return breaks
}
