package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hawthornshore.example/settings"
)

// FuzzLoad guards against a loader that panics, that refuses without saying
// where, or that accepts a folder and drops one of its keys: in an accepted
// folder every line that is neither blank, comment nor section must be the
// origin of a value, in force or overridden.
func FuzzLoad(f *testing.F) {
	f.Add("[class.c]\nrank = 1\n[tenant.t]\n", "[class.c]\nrank = 2 # two\n")
	f.Add("[instance]\nname = a\ndata_centre = d\n", "[limits]\r\ndrain_timeout = \"3s\"\r\n")
	f.Add("\ufeff[class.c]\nmax_queue=`1\n`\n[tenant.t]", "[class.c]\nrank = \"\"\"\n1\"\"\"")
	f.Add("[class.c] ; x\nrank = 1 \\\nmax_queue = 3\n", "[DEFAULT]\n-=1\n\"rank\"=2\n[tenant.t]\nweight: 3\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		dir := t.TempDir()
		files := map[string]string{filepath.Join(dir, "a.ini"): first, filepath.Join(dir, "b.ini"): second}
		for file, content := range files {
			if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		_, origins, err := settings.LoadSystem(dir)
		checkLoaded(t, files, origins, err)
		daemon, err := settings.LoadDaemon(dir)
		checkLoaded(t, files, daemon.Origins, err)
	})
}

func checkLoaded(t *testing.T, files map[string]string, origins settings.Origins, err error) {
	t.Helper()
	if err != nil {
		checkRefusal(t, err)
		return
	}
	used := map[settings.Place]bool{}
	for _, origin := range origins {
		used[origin.Place] = true
		for _, place := range origin.Overridden {
			used[place] = true
		}
	}
	for file, content := range files {
		for i, line := range strings.Split(strings.TrimPrefix(content, "\ufeff"), "\n") {
			line = strings.TrimSpace(line)
			if line == "" || strings.ContainsAny(line[:1], "#;[") {
				continue
			}
			if !used[settings.Place{File: file, Line: i + 1}] {
				t.Errorf("line %d of %s is dropped: %q", i+1, filepath.Base(file), line)
			}
		}
	}
}

func checkRefusal(t *testing.T, err error) {
	t.Helper()
	var problems settings.Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("the error %v lists no problems", err)
	}
	for _, problem := range problems {
		if problem.File == "" || problem.Message == "" {
			t.Errorf("the problem %+v does not say what and where it is", problem)
		}
	}
}
