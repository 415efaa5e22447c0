package cli_test

import (
	"errors"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"hawthornshore.example/apps/hawthornctl/internal/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hawthornctl": func() {
			os.Exit(cli.Run(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

// TestScripts runs the command line against two fake instances, a and b. The
// scripts guard against wrong exit codes, error messages and requests.
//
// Commands: "code N ARGS" runs hawthornctl and expects exit code N. "reply I
// METHOD PATH STATUS FILE" queues an answer of instance I; the last one of an
// endpoint is repeated until another is queued. "drop I METHOD PATH" queues a
// closed connection. "requests I FILE" writes the requests that instance I has
// received.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"a", "b"} {
				instance := newFakeInstance()
				env.Defer(instance.server.Close)
				env.Values[name] = instance
				env.Setenv("ADDRESS_"+name, instance.server.Listener.Addr().String())
			}
			env.Setenv("HAWTHORN_ADDRESS", env.Getenv("ADDRESS_a"))
			env.Setenv("USER", "ada")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code": expectExitCode,
			"reply": func(ts *testscript.TestScript, _ bool, args []string) {
				status, err := strconv.Atoi(args[3])
				ts.Check(err)
				fake(ts, args[0]).queue(args[1]+" "+args[2], reply{status: status, body: ts.ReadFile(args[4])})
			},
			"drop": func(ts *testscript.TestScript, _ bool, args []string) {
				fake(ts, args[0]).queue(args[1]+" "+args[2], reply{})
			},
			"requests": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(fake(ts, args[0]).received()), 0o600))
			},
		},
	})
}

func fake(ts *testscript.TestScript, name string) *fakeInstance {
	instance, ok := ts.Value(name).(*fakeInstance)
	if !ok {
		ts.Fatalf("unknown instance %q", name)
	}
	return instance
}

// expectExitCode runs hawthornctl and fails on any other exit code.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec("hawthornctl", args[1:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("run hawthornctl: %v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
