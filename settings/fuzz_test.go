package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hawthornshore.example/settings"
)

// Folders begin with a valid file, so that the fuzzed files alone decide
// whether the folder is accepted.
const (
	validSystem = "[class.c]\n[tenant.t]\n"
	validDaemon = "[instance]\nname = a\ndata_centre = d\n"
)

// FuzzLoad guards against a loader that panics, that reports a problem without
// a position, or that accepts a folder and drops one of its keys: in an accepted
// folder every line that is neither blank, comment nor section must be the
// origin of a value, effective or overridden, and every section must be known.
func FuzzLoad(f *testing.F) {
	f.Add("[class.c]\nrank = 1\n[tenant.t]\n", "[class.c]\nrank = 2 # two\n")
	f.Add("[instance]\nlog_level = warn\n", "[limits]\r\ndrain_timeout = \"3s\"\r\n")
	f.Add("[limits]\nmax_connections = 16\n", "[peer.b]\nlink = 127.0.0.1:1\ndata_centre = d\n")
	// Each of these has one fault, so that a missing check fails the test.
	for _, fault := range []string{
		"[class.c]\nranks = 1\n",
		"[classes]\nrank = 1\n",
		"[class.c]\nrank = 1\nrank = 2\n",
		"rank = 3\n",
		"[peers]\n",
		"[class.c]\n- = 1\n",
		"[class.c]\n\"rank\" = 1\n",
		"[DEFAULT]\nrank = 1\n",
		"\ufeff[class.c]\nmax_queue=`1\n`\n[tenant.t]",
		"[class.c]\nrank = \"\"\"\n1\"\"\"",
		"[class.c] ; x\nrank = 1 \\\nmax_queue = 3\n",
		"[class.c] rank = 1\n",
		"[tenant.t]\nweight: 3\n",
		"[class.c]\nrank = `1\nmax_queue = 5`\n",
	} {
		f.Add(fault, "")
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		files := writeFuzzFolder(t, validSystem, first, second)
		_, origins, err := settings.LoadSystem(files.dir)
		checkLoaded(t, files, origins, err)
		files = writeFuzzFolder(t, validDaemon, first, second)
		daemon, err := settings.LoadDaemon(files.dir)
		checkLoaded(t, files, daemon.Origins, err)
	})
}

// fuzzFolder is a folder with the content of its files.
type fuzzFolder struct {
	dir   string
	files map[string]string // content by path
}

func writeFuzzFolder(t *testing.T, contents ...string) fuzzFolder {
	t.Helper()
	folder := fuzzFolder{dir: t.TempDir(), files: map[string]string{}}
	for i, content := range contents {
		file := filepath.Join(folder.dir, string(rune('a'+i))+".ini")
		folder.files[file] = content
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func checkLoaded(t *testing.T, folder fuzzFolder, origins settings.Origins, err error) {
	t.Helper()
	if err != nil {
		checkProblems(t, err)
		return
	}
	used := map[settings.Position]bool{}
	for _, origin := range origins {
		used[origin.Position] = true
		for _, position := range origin.Overridden {
			used[position] = true
		}
	}
	for file, content := range folder.files {
		for i, line := range strings.Split(strings.TrimPrefix(content, "\ufeff"), "\n") {
			if problem := dropped(strings.TrimSpace(line), used[settings.Position{File: file, Line: i + 1}], origins); problem != "" {
				t.Errorf("line %d of %s: %s: %q", i+1, filepath.Base(file), problem, line)
			}
		}
	}
}

// dropped returns why an accepted line had no effect, or "".
func dropped(line string, used bool, origins settings.Origins) string {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return ""
	case line[0] == '[':
		name, _, _ := strings.Cut(line[1:], "]")
		if _, known := origins[settings.QualifiedKey{Section: name}]; !known {
			return "the section is dropped"
		}
		return ""
	case !used:
		return "the key is dropped"
	}
	return ""
}

func checkProblems(t *testing.T, err error) {
	t.Helper()
	var problems settings.Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("the error %v lists no problems", err)
	}
	for _, problem := range problems {
		if problem.File == "" || problem.Message == "" {
			t.Errorf("the problem %+v has no file or no message", problem)
		}
	}
}
