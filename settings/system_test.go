package settings_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/settings"
	"hawthornshore.example/structs"
)

var _ = Describe("LoadSystem", func() {
	// Guards against a merge in another order than that of the file names, and
	// against an override that replaces a whole section instead of a key.
	It("merges files in the order of their names, key by key", func() {
		dir := folder(map[string]string{
			"20-team.ini":  "[class.void]\nrank = 1\n",
			"10-base.ini":  "[class.void]\nrank = 5\nmax_queue = 70\n[tenant.gate]\nweight = 2.5\n",
			"9-late.ini":   "[class.void]\nmax_queue = 90\n",
			"notes.txt":    "rank = 9\n",
			".hidden.ini":  "[class.void]\nrank = 9\n",
			"15-empty.ini": "",
		})
		config, origins, err := settings.LoadSystem(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(config).To(Equal(structs.SystemConfig{
			Classes: map[string]structs.Class{"void": {Name: "void", Rank: 1, MaxQueue: 90}},
			Tenants: map[string]structs.Tenant{"gate": {Name: "gate", Weight: 2.5}},
		}))
		Expect(origins.Of("class.void", "rank")).To(Equal(settings.Origin{
			Position:   settings.Position{File: filepath.Join(dir, "20-team.ini"), Line: 2},
			Overridden: []settings.Position{{File: filepath.Join(dir, "10-base.ini"), Line: 2}},
		}))
		Expect(origins.Of("class.void", "max_queue").File).To(HaveSuffix("9-late.ini"))
		Expect(origins.Of("class.void", "share_percent").String()).To(Equal("default"))
	})

	// Guards against a class that is dropped because all its values are defaults.
	It("keeps a section without keys", func() {
		config, _, err := settings.LoadSystem(folder(map[string]string{"a.ini": "[class.c]\n[tenant.t]\n"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Classes).To(HaveKeyWithValue("c", structs.Class{Name: "c", Rank: 100, MaxQueue: 10000}))
		Expect(config.Tenants).To(HaveKeyWithValue("t", structs.Tenant{Name: "t", Weight: 1}))
	})

	// Guards against reports that stop at the first error or that lack
	// its position and the allowed values.
	It("reports every problem with file, line, key and allowed values", func() {
		dir := folder(map[string]string{
			"a.ini": "stray = 1\n[class.c]\nrank = fast\nshare_percent = 101%\nranks = 1\n[classes]\nrank = 1\n",
			"b.ini": "[tenant.t]\nweight = NaN\nquota_slots = 2\nquota_slots = 3\nno equals sign\n[tenant.a b]\n",
		})
		_, _, err := settings.LoadSystem(dir)
		Expect(problems(err)).To(Equal([]string{
			`a.ini:1: stray: the key is outside of any section (allowed: [class.NAME], [tenant.NAME])`,
			`a.ini:3: [class.c] rank: bad value "fast" (allowed: 0 to 1000)`,
			`a.ini:4: [class.c] share_percent: value "101%" is out of range (allowed: 0 to 100)`,
			`a.ini:5: [class.c] ranks: unknown key (allowed: rank, share_percent, max_queue)`,
			`a.ini:6: [classes]: unknown section (allowed: [class.NAME], [tenant.NAME])`,
			`b.ini:2: [tenant.t] weight: value "NaN" is out of range (allowed: 0.001 to 1000)`,
			`b.ini:4: [tenant.t] quota_slots: the key is set twice in this file, first in line 3`,
			`b.ini:5: the line is not a section, a comment or key = value`,
			`b.ini:6: [tenant.a b]: bad name "a b" (allowed: 1 to 64 letters, digits, '-' and '_', beginning with a letter or digit)`,
		}))
	})

	// Guards against a bad value that stays hidden until the override of
	// another team is removed.
	It("rejects a bad value that a later file overrides", func() {
		_, _, err := settings.LoadSystem(folder(map[string]string{
			"a.ini": "[class.c]\nrank = x\n[tenant.t]\n", "b.ini": "[class.c]\nrank = 1\n",
		}))
		Expect(problems(err)).To(ConsistOf(HavePrefix("a.ini:2: [class.c] rank")))
	})

	// Guards against shares that cannot be granted together.
	It("rejects shares that add up to more than 100 percent", func() {
		_, _, err := settings.LoadSystem(folder(map[string]string{
			"a.ini": "[class.c]\nshare_percent = 60\n[class.d]\nshare_percent = 50\n[tenant.t]\n",
		}))
		Expect(problems(err)).To(ConsistOf(HavePrefix("a.ini:2: [class.c] share_percent"), HavePrefix("a.ini:4: [class.d] share_percent")))
	})

	// Guards against a configuration under which every job is refused.
	DescribeTable("rejects folders without classes, tenants or files", func(files map[string]string, message string) {
		_, _, err := settings.LoadSystem(folder(files))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("no files", nil, "the folder has no files ending in .ini"),
		Entry("no classes", map[string]string{"a.ini": "[tenant.t]\n"}, "no class is declared"),
		Entry("no tenants", map[string]string{"a.ini": "[class.c]\n"}, "no tenant is declared"),
	)

	// Guards against syntax that the library accepts by dropping or joining text.
	DescribeTable("rejects ambiguous syntax", func(text string) {
		_, _, err := settings.LoadSystem(folder(map[string]string{"a.ini": "[tenant.t]\n[class.c]\n" + text}))
		Expect(err).To(HaveOccurred())
	},
		Entry("triple quotes", "rank = \"\"\"1\n2\"\"\"\n"),
		Entry("backquotes", "rank = `1\n`\nmax_queue = 5\n"),
		Entry("quoted key", "\"rank\" = 1\n"),
		Entry("colon", "rank : 1\n"),
		Entry("text after a section", "[class.d] rank = 1\n"),
		Entry("open section", "[class.d\nrank = 1\n"),
		Entry("default section", "[DEFAULT]\nrank = 1\n"),
		Entry("numbered key", "- = 1\n"),
	)
})
