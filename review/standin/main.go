// Command review-case plays one case of the review: it starts the system's own
// processes on loopback addresses, with stand-ins for the clients, the operator and
// the runners, and checks one rule by what these have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

// play is what the cases share.
type play struct {
	*deployment
	rec     *record
	fleet   *fleet
	runners []*runner
	trouble bool // the disruption is played
	// firstReport is the time from the boot of a runner to its first liveness report.
	firstReport time.Duration
	broken      []string
}

// violate records that the rule was broken.
func (p *play) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.broken = append(p.broken, text)
	p.rec.add("BROKEN: %s", text)
}

var cases = map[string]func(context.Context, *play) error{
	"backlog":   playBacklog,
	"crashes":   playCrashes,
	"returned":  playReturned,
	"trials":    playTrials,
	"lists":     playLists,
	"cancelled": playCancelled,
	"pending":   playPending,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case CASE, with the case's folder as the working directory")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1]))
}

func runCase(name string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, caseLimit)
	defer stop()
	root, err := repositoryRoot()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	p := &play{deployment: d, rec: rec, trouble: os.Getenv("TROUBLE") != "0", fleet: &fleet{rec: rec}}
	defer p.stopRunners()
	rec.add("case %s, with the disruption: %t", name, p.trouble)
	if err := cases[name](ctx, p); err != nil {
		rec.add("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, "not played:", err)
		return exitNotRun
	}
	for _, text := range p.broken {
		fmt.Println("broken:", text)
	}
	if len(p.broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

// repositoryRoot finds the folder with the built programs above the case's folder.
func repositoryRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; folder != "/"; folder = filepath.Dir(folder) {
		if _, err := os.Stat(filepath.Join(folder, "target", "hawthorn-platform")); err == nil {
			return folder, nil
		}
	}
	return "", errors.New("target/hawthorn-platform is not built")
}

// addRunner starts a runner.
func (p *play) addRunner(zone int, labels []string, cpu int) (*runner, error) {
	number := len(p.runners)
	// Each runner calls the daemons of control in an order of its own.
	control := append(append([]string{}, p.seeds[zone%len(p.seeds):]...), p.seeds[:zone%len(p.seeds)]...)
	r := newRunner(p.fleet, fmt.Sprintf("r%d", number), zones[zone%len(zones)], p.ip(100+number)+":0", labels, cpu, control)
	r.firstReport = p.firstReport
	p.runners = append(p.runners, r)
	return r, r.boot()
}

func (p *play) stopRunners() {
	for _, r := range p.runners {
		if !r.down {
			r.shutDown()
		}
	}
}

// begin starts 3 coordinators, 2 gateways and runners, and waits until jobs are served.
func (p *play) begin(ctx context.Context, maxAttempts int, runnerLabels [][]string) error {
	if err := p.start(3, 2); err != nil {
		return err
	}
	if err := p.serve(ctx, baseConfig(7, maxAttempts)); err != nil {
		return err
	}
	for i, labels := range runnerLabels {
		if _, err := p.addRunner(i, labels, 32000); err != nil {
			return err
		}
	}
	return sleep(ctx, 4*time.Second) // heartbeats have reached the owners
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func jobID(number int) string { return fmt.Sprintf("5c0e7a21%08x", number) }
