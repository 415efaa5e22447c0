package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

// folder writes files into a new folder and returns its path.
func folder(files map[string]string) string {
	dir := GinkgoT().TempDir()
	for name, content := range files {
		Expect(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600)).To(Succeed())
	}
	return dir
}

// problems returns the problems of an invalid folder, with file names instead
// of paths.
func problems(err error) []string {
	var list settings.Problems
	Expect(err).To(BeAssignableToTypeOf(list))
	list = err.(settings.Problems)
	lines := make([]string, len(list))
	for i, p := range list {
		p.File = filepath.Base(p.File)
		lines[i] = p.String()
	}
	return lines
}
