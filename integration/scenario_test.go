package integration_test

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hawthornshore.example/integration"
	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/structs"
)

// scenarioTimeout bounds one script.
const scenarioTimeout = 120 * time.Second

// TestScenarios runs the scripts in testdata. Each guards against violations of the
// guarantees in its first line. testdata/README.md describes the commands.
func TestScenarios(t *testing.T) {
	built, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			if entry := "TestScenarios/" + strings.TrimPrefix(filepath.Base(env.WorkDir), "script-"); knownRed(t, entry) {
				env.T().Skip("known red, passed over: " + entry)
			}
			ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
			s := &scenario{ctx: ctx, programs: built, jobs: make(map[string]*scenarioJob)}
			env.Values["scenario"] = s
			env.Defer(func() {
				cancel()
				if s.cluster != nil {
					s.cluster.Close()
				}
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"instances": command((*scenario).instances),
			"target":    command((*scenario).target),
			"ready":     command((*scenario).ready),
			"process":   command((*scenario).process),
			"network":   command((*scenario).network),
			"submit":    command((*scenario).submit),
			"started":   command((*scenario).started),
			"outcome":   command((*scenario).outcome),
			"sleep":     command((*scenario).sleep),
			"check":     command((*scenario).check),
		},
	})
}

// knownRed reports whether KNOWN-RED.txt lists a script. Ginkgo's skip flag does
// not apply to scripts.
func knownRed(t *testing.T, entry string) bool {
	text, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	return slices.Contains(strings.Split(string(text), "\n"), "test: "+entry)
}

// scenario is the state of one script.
type scenario struct {
	ctx       context.Context
	programs  integration.Programs
	cluster   *integration.Cluster
	jobs      map[string]*scenarioJob
	exchanges []integration.Exchange
}

// scenarioJob is a job with its pending requests.
type scenarioJob struct {
	job     structs.Job
	answers chan structs.Answer // the outcome is empty if the request failed
	pending int
}

// command adapts a method to testscript and rejects negation.
func command(f func(*scenario, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command cannot be negated")
		}
		f(ts.Value("scenario").(*scenario), ts, args)
	}
}

// requireArgs fails the script unless there are at least count arguments.
func requireArgs(ts *testscript.TestScript, args []string, count int) {
	if len(args) < count {
		ts.Fatalf("%d arguments are missing", count-len(args))
	}
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func (s *scenario) instances(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1)
	var err error
	s.cluster, err = integration.NewCluster(s.programs, ts.MkAbs("."), args...)
	ts.Check(err)
	for _, name := range args {
		ts.Check(s.cluster.Instances[name].Start())
	}
}

func (s *scenario) target(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2)
	_, err := s.cluster.AddTarget(args[0], number(ts, args[1]), args[2:]...)
	ts.Check(err)
}

func (s *scenario) ready(ts *testscript.TestScript, _ []string) { ts.Check(s.cluster.WarmUp(s.ctx)) }

// process runs an action on an instance or a target.
func (s *scenario) process(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2)
	instance, target := s.cluster.Instances[args[1]], s.cluster.Targets[args[1]]
	switch {
	case instance != nil:
		runAction(ts, args[0], map[string]func() error{
			"kill": instance.Kill, "pause": instance.Pause, "resume": instance.Resume, "start": instance.Start,
			"stop": func() error { return instance.Stop(scenarioTimeout) },
		})
	case target != nil:
		runAction(ts, args[0], map[string]func() error{
			"kill": target.Kill, "pause": target.Pause, "resume": target.Resume, "start": target.Start,
			"leave": func() error { _, err := target.Leave(); return err },
		})
	default:
		ts.Fatalf("no process %q", args[1])
	}
}

func runAction(ts *testscript.TestScript, name string, actions map[string]func() error) {
	action := actions[name]
	if action == nil {
		ts.Fatalf("no action %q", name)
	}
	ts.Check(action())
}

// network sets the fault of a target's proxy.
func (s *scenario) network(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 4)
	target := s.cluster.Targets[args[0]]
	direction, ok := map[string]faultproxy.Direction{"to-target": faultproxy.ToServer, "from-target": faultproxy.ToClient}[args[1]]
	kind, known := map[string]faultproxy.Kind{"forward": faultproxy.Forward, "drop": faultproxy.Drop, "cut": faultproxy.Cut}[args[2]]
	scope, valid := map[string]faultproxy.Scope{"existing": faultproxy.ExistingOnly, "all": faultproxy.ExistingAndNew}[args[3]]
	if target == nil || !ok || !known || !valid {
		ts.Fatalf("usage: network TARGET to-target|from-target forward|drop|cut existing|all")
	}
	target.Proxy.Set(direction, faultproxy.Fault{Kind: kind}, scope)
}

// submit submits a job in the background. A known job name resubmits its body.
func (s *scenario) submit(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2)
	instance := s.cluster.Instances[args[1]]
	if instance == nil {
		ts.Fatalf("no instance %q", args[1])
	}
	j := s.jobs[args[0]]
	if j == nil {
		requireArgs(ts, args, 6)
		owner := s.cluster.Instances[args[2]]
		work := integration.Work{RunMS: int(duration(ts, args[4]).Milliseconds()), Fail: len(args) > 6 && args[6] == "fail"}
		job := s.cluster.NewJob(owner, duration(ts, args[5]), integration.Repeat(number(ts, args[3]), work)...)
		j = &scenarioJob{job: job, answers: make(chan structs.Answer, 100)}
		s.jobs[args[0]] = j
	}
	j.pending++
	go func() {
		answer, _ := instance.Submit(s.ctx, j.job) // the outcome is empty after an error
		j.answers <- answer
	}()
}

func (s *scenario) job(ts *testscript.TestScript, name string) *scenarioJob {
	if s.jobs[name] == nil {
		ts.Fatalf("no job %q", name)
	}
	return s.jobs[name]
}

func (s *scenario) started(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2)
	ts.Check(s.cluster.WaitStarts(s.ctx, s.job(ts, args[0]).job.ID, number(ts, args[1])))
}

// outcome waits for the pending requests of a job and compares each answer's
// outcome with a list of alternatives, in which lost means no answer.
func (s *scenario) outcome(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2)
	j := s.job(ts, args[0])
	for ; j.pending > 0; j.pending-- {
		answer := <-j.answers
		got := string(answer.Outcome)
		if got == "" {
			got = "lost"
		} else {
			s.exchanges = append(s.exchanges, integration.Exchange{Job: j.job, Answer: answer})
		}
		if !strings.Contains("|"+args[1]+"|", "|"+got+"|") {
			ts.Fatalf("job %s was answered %s (%s %s), not %s", args[0], got, answer.Reason, answer.Message, args[1])
		}
	}
}

func (s *scenario) sleep(ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1)
	time.Sleep(duration(ts, args[0]))
}

// check compares all received answers with the start records.
func (s *scenario) check(ts *testscript.TestScript, _ []string) {
	time.Sleep(settleTime)
	starts, err := s.cluster.Starts()
	ts.Check(err)
	if len(starts) == 0 {
		ts.Fatalf("the start records are empty")
	}
	for _, violation := range integration.Violations(starts, s.exchanges) {
		ts.Fatalf("%s", violation)
	}
}
