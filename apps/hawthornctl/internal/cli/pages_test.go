package cli

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPages(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command lines in the documentation")
}

const pagesFolder = "../../../../docs"

var (
	commandPattern = regexp.MustCompile(`(?m)^\s*hawthornctl (.+)$`)
	exitPattern    = regexp.MustCompile(`(?m)^ +([0-9]+)  (.+)$`)
)

// Guards against documentation and help texts with commands or flags that no
// longer exist.
var _ = Describe("Command lines", func() {
	check := func(source, text string) int {
		lines := commandPattern.FindAllStringSubmatch(text, -1)
		for _, line := range lines {
			command, _, _ := strings.Cut(line[1], "|")
			command, _, _ = strings.Cut(command, ">")
			parser, err := newParser(&commands{}, Streams{Out: io.Discard, Err: io.Discard}, func(int) {})
			Expect(err).NotTo(HaveOccurred())
			_, err = parser.Parse(strings.Fields(strings.ReplaceAll(strings.ReplaceAll(command, "...", ""), "'", "")))
			Expect(err).NotTo(HaveOccurred(), "%s: hawthornctl %s", source, line[1])
		}
		return len(lines)
	}

	It("in the documentation can be parsed", func() {
		pages, err := filepath.Glob(filepath.Join(pagesFolder, "*.md"))
		Expect(err).NotTo(HaveOccurred())
		found := 0
		for _, page := range pages {
			text, err := os.ReadFile(page)
			Expect(err).NotTo(HaveOccurred())
			found += check(page, string(text))
		}
		Expect(found).To(BeNumerically(">", 5))
	})

	It("in the help can be parsed", func() {
		Expect(check("help", description)).To(Equal(3))
		for _, text := range []string{
			(&configCheckCommand{}).Help(), (&configDiffCommand{}).Help(), (&configApplyCommand{}).Help(),
			(&configShowCommand{}).Help(), (&configHistoryCommand{}).Help(), (&statusCommand{}).Help(),
			(&jobSubmitCommand{}).Help(), (&jobGetCommand{}).Help(), (&drainCommand{}).Help(),
		} {
			Expect(check("help", strings.Split(text, " || ")[0])).To(BeNumerically(">", 0), text)
		}
	})
})

// Guards against exit codes described differently by the operators' guide and
// the help.
var _ = Describe("The exit codes", func() {
	It("are the same in the help and in the operators' guide", func() {
		page, err := os.ReadFile(filepath.Join(pagesFolder, "operators.md"))
		Expect(err).NotTo(HaveOccurred())
		codes := exitPattern.FindAllStringSubmatch(exitHelp, -1)
		Expect(codes).To(HaveLen(12))
		for _, code := range codes {
			Expect(string(page)).To(ContainSubstring("\n| " + code[1] + " | " + code[2] + " |\n"))
		}
	})
})
