package settings_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/settings"
	"hawthornshore.example/structs"
)

var _ = Describe("The table of keys", func() {
	// Guards against a page that describes other keys, defaults or ranges than
	// the code has.
	It("agrees with docs/configuration.md", func() {
		page, err := os.ReadFile("../docs/configuration.md")
		Expect(err).NotTo(HaveOccurred())
		var want strings.Builder
		Expect(settings.WriteReference(&want)).To(Succeed())
		Expect(string(page)).To(Equal(want.String()), "run: go run ./apps/hawthornctl config keys --markdown > docs/configuration.md")
	})

	// Guards against a default that the loader itself would reject.
	It("has an acceptable default and a sentence for every key", func() {
		for _, schema := range settings.Schemas() {
			for i := range schema.Sections {
				for _, key := range schema.Sections[i].Keys {
					name := schema.Sections[i].Title() + " " + key.Name
					Expect(key.Doc).To(HaveSuffix("."), name)
					Expect(key.Required && key.Default != "").To(BeFalse(), name)
					if !key.Required {
						Expect(key.Check(key.Default)).To(BeEmpty(), name)
					}
				}
			}
		}
	})
})

var _ = Describe("CheckSystem", func() {
	valid := func() structs.SystemConfig {
		return structs.SystemConfig{
			Classes: map[string]structs.Class{"c": {Name: "c", MaxQueue: 1}},
			Tenants: map[string]structs.Tenant{"t": {Name: "t", Weight: 1}},
		}
	}

	// Guards against an apply call that is refused although a folder may hold its
	// values.
	It("accepts what a folder could hold", func() {
		Expect(settings.CheckSystem(valid())).To(Succeed())
	})

	// Guards against an apply call with values that no folder may hold.
	DescribeTable("rejects what a folder could not hold", func(change func(*structs.SystemConfig), message string) {
		config := valid()
		change(&config)
		Expect(settings.CheckSystem(config)).To(MatchError(HavePrefix(message)))
	},
		Entry("range", func(c *structs.SystemConfig) { c.Classes["c"] = structs.Class{Name: "c"} }, `[class.c] max_queue: value "0" is out of range (allowed: 1 to 10000000)`),
		Entry("bad name", func(c *structs.SystemConfig) { c.Tenants["a.b"] = structs.Tenant{Name: "a.b", Weight: 1} }, `[tenant.a.b]: bad name "a.b"`),
		Entry("other name", func(c *structs.SystemConfig) { c.Tenants["u"] = structs.Tenant{Name: "t", Weight: 1} }, `[tenant.u]: the name of the entry is "t"`),
		Entry("no class", func(c *structs.SystemConfig) { c.Classes = nil }, "no class is declared"),
	)
})

var _ = Describe("DetectSchema", func() {
	// Guards against a daemon's folder that is checked as system configuration,
	// where every section is an error.
	It("distinguishes daemon settings from system configuration", func() {
		daemon := folder(map[string]string{"a.ini": "[limits]\n"})
		system := folder(map[string]string{"a.ini": "[class.c]\n", "b.ini": "[open\n"})
		Expect(settings.DetectSchema(daemon)).To(BeIdenticalTo(settings.Schemas()[0]))
		Expect(settings.DetectSchema(system)).To(BeIdenticalTo(settings.Schemas()[1]))
	})
})
